"""Background jobs that fail."""

import asyncio

from endivelug.forwarding.background_jobs import BackgroundJobs
from forwarding_builders import LogRecorder


# Guards against a background job that ends after one error and leaves a stale state.
def test_a_failed_background_job_is_restarted(monkeypatch):
    monkeypatch.setattr("endivelug.forwarding.background_jobs.RESTART_S", 0.01)
    log = LogRecorder()
    runs = []

    async def job():
        runs.append(len(runs))
        if len(runs) < 3:
            raise ValueError("a fault")

    async def scenario():
        jobs = BackgroundJobs(log=log)
        jobs.start(job)
        async with asyncio.timeout(5):
            await asyncio.gather(*jobs.tasks)

    asyncio.run(scenario())
    assert runs == [0, 1, 2]
    assert log.events().count("job-failed") == 2
