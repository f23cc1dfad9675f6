from endivelug.busiest import BusiestOrganisations
from endivelug.metrics import RouterMetrics


# Guards against a metrics page whose size grows with the number of organisations.
def test_page_size_is_bounded_with_many_organisations():
    metrics = RouterMetrics(busiest=BusiestOrganisations(max_labels=3, max_counters=30))
    for number in range(5000):
        name = metrics.busiest.record_request(f"org{number % 700}")
        metrics.observe_first_token(
            labels={"work_class": "batch", "plan": "p"}, organisation=name, seconds=1
        )
        if number % 100 == 0:
            metrics.rotate_labels()
    page, _ = metrics.render([])
    lines = {
        line for line in page.decode().splitlines() if "organisation_first" in line
    }
    assert len([line for line in lines if "_count" in line]) <= 4


def test_the_busiest_organisation_has_its_own_label():
    busiest = BusiestOrganisations(max_labels=1, max_counters=4)
    for number in range(100):
        busiest.record_request(f"small{number}")
        busiest.record_request("large")
    busiest.rotate_labels()
    assert busiest.record_request("large") == "large"
    assert busiest.record_request("small1") == "other"
