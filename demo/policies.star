# Both users' policy of the demo.  Panelwerk weighs cost: cheap versions first.
# The Quote Desk weighs latency and exposure: unusual lanes go straight to the
# strong version, for a second try costs the shipper's time.

def cost(version):
    return version["price_input"] + version["price_output"]

def route(request, candidates):
    by_cost = sorted(candidates, key = cost)
    if request["organisation"].startswith("desk") and request["class"] == "lane":
        by_cost = reversed(by_cost)
    return [version["name"] for version in by_cost]
