import ssl
import urllib.request

import pytest
import trustme
from measurements._cluster import fetch, running_cluster, wait_until
from measurements._lists import PLANS

from programs import KEYS


def write_pem(path, *parts):
    for part in parts:
        part.write_to_path(str(path), append=True)
    return str(path)


@pytest.fixture
def tls_cluster():
    """Two VMs whose callers' listeners and links use certificates of one CA."""
    authority = trustme.CA()
    with running_cluster(pool_settings={"chat": {"kind": "engine"}}) as cluster:
        cluster.start_platform()
        cluster.start_engine("e1", "--model", "chat=1")
        issued = authority.issue_cert("127.0.0.1")
        key = write_pem(cluster.directory / "key.pem", issued.private_key_pem)
        chain = write_pem(cluster.directory / "chain.pem", *issued.cert_chain_pems)
        ca = write_pem(cluster.directory / "ca.pem", authority.cert_pem)
        cluster.router_settings = {"tls_certificate": chain, "tls_key": key}
        links = f"tls_certificate = {chain}\ntls_key = {key}\ntls_ca = {ca}\n"
        for name in ("vm1", "vm2"):
            vm = cluster.add_vm(name)
            text = vm.settings.read_text()
            vm.settings.write_text(text.replace("[links]\n", f"[links]\n{links}"))
            vm.router_url = vm.router_url.replace("http:", "https:")
        cluster.publish_vm_list()
        for vm in cluster.vms.values():
            cluster.start_agent(vm)
            cluster.start_router(vm)
        cluster.apply_lists(PLANS, {"org-a": KEYS["org-a"]})
        yield cluster, ssl.create_default_context(cafile=ca)


# Guards against TLS settings that are accepted but not used, on the callers' listener
# and on the links between agents, routers and the operator's command.
def test_callers_and_links_use_tls(tls_cluster):
    cluster, context = tls_cluster
    vm = cluster.vms["vm1"]

    def models():
        request = urllib.request.Request(
            f"{vm.router_url}/v1/models",
            headers={"Authorization": f"Bearer {KEYS['org-a']}"},
        )
        with urllib.request.urlopen(request, context=context, timeout=5) as response:
            return b'"chat"' in response.read()

    wait_until(models, what="a response over TLS")
    with pytest.raises(OSError):
        fetch(vm.router_url.replace("https:", "http:") + "/healthz")
    # A peer without a certificate of the CA is rejected even if it has the secret.
    without_tls = cluster.directory / "stranger.ini"
    lines = vm.settings.read_text().splitlines()
    without_tls.write_text("\n".join(line for line in lines if "tls_" not in line))
    vm.settings = without_tls
    assert "cannot be reached" in cluster.run_ctl("status", vm=vm).stdout
