"""Compares the result of an experiment with the targets in its file, for scripts/experiment.

A target names a phase, a group ("all", "priorities/urgent", "stages/*", ...; "*" stands for every
group and "others" for every workspace but the first) and a value in it, and bounds it by "at_least"
or "at_most". "times" multiplies the bound by the capacity, by the floor of the group's priority
("floor"), or by the same value in another phase ("phase:NAME"). The phase "total" combines all
measured phases and has stages only. The value "useful_share" of "bottleneck" is the service time of
requests completed within their deadline, as a share of the slots of the stage where this share is
largest. Unlike a number of requests, it does not depend on the mix of cheap and expensive ones.
"""


def total_of(phases):
    stages = {}
    for phase in phases:
        for name, it in phase["stages"].items():
            total = stages.setdefault(name, {"completed": 0, "attempts": 0})
            for key in total:
                total[key] += it[key]
    for it in stages.values():
        it["extra_work"] = it["attempts"] / it["completed"] - 1
    return {"name": "total", "stages": stages}


def bottleneck_of(phase, deployment):
    shares = []
    for name, it in phase["stages"].items():
        pool = deployment["pools"][deployment["stages"][name]["pool"]]
        shares.append(it["useful_slots"] / (pool["count"] * pool["slots"]))
    return {"useful_share": max(shares, default=0.0)}


def phase_of(result, name):
    if name == "total":
        return total_of(result["phases"])
    return next(it for it in result["phases"] if it["name"] == name)


def groups_of(phase, path, deployment):
    """Returns the groups that match a path, keyed by their own paths."""
    if path == "bottleneck":
        return {path: bottleneck_of(phase, deployment)}
    kind, _, name = path.partition("/")
    if not name:
        return {kind: phase[kind]}
    if name == "*":
        return {f"{kind}/{it}": group for it, group in phase[kind].items()}
    if name == "others":
        first = next(iter(deployment["workspaces"]))
        return {f"{kind}/{it}": group for it, group in phase[kind].items() if it != first}
    # A group without requests is missing from the result; its target then counts as missed.
    return {path: phase[kind].get(name)}


def value_of(group, path):
    for key in path.split("."):
        if group is None:
            return None
        group = group[key]
    return group


def bound_factor(result, deployment, target, group_path):
    multiplier = target.get("times")
    if multiplier is None:
        return 1.0
    capacity = deployment["load"]["capacity_per_s"]
    if multiplier == "capacity":
        return capacity
    if multiplier == "floor":
        return capacity * deployment["priorities"][group_path.split("/")[1]]["floor"]
    phase = phase_of(result, multiplier.removeprefix("phase:"))
    return value_of(groups_of(phase, group_path, deployment)[group_path], target["value"])


def check_target(result, deployment, target):
    """Yields a verdict for each group that matches the target."""
    phase = phase_of(result, target["phase"])
    groups = groups_of(phase, target["of"], deployment)
    if not groups:
        yield {"what": f"{target['phase']} {target['of']} {target['value']}", "measured": None,
               "bound": None, "met": False}
    for path, group in groups.items():
        measured = value_of(group, target["value"])
        factor = bound_factor(result, deployment, target, path)
        is_lower_bound = "at_least" in target
        bound = (target["at_least"] if is_lower_bound else target["at_most"]) * factor
        met = measured is not None and (measured >= bound if is_lower_bound else measured <= bound)
        yield {"what": f"{target['phase']} {path} {target['value']}", "measured": measured,
               "bound": f"{'>=' if is_lower_bound else '<='} {bound:.4g}", "met": met}


def check_invariants(result, deployment):
    """Yields verdicts on the conditions that every experiment must meet."""
    yield {"what": "wrong answers", "measured": result["wrong_answers"], "bound": "<= 0",
           "met": result["wrong_answers"] == 0}
    for stage, it in deployment["stages"].items():
        if not it.get("idempotent", True):
            repeated = result["executions"].get(it["pool"], {}).get("repeated")
            yield {"what": f"repeated executions of {stage}", "measured": repeated,
                   "bound": "<= 0", "met": repeated == 0}
    not_sent = sum(it["all"]["results"]["not_sent"] for it in result["phases"])
    yield {"what": "requests not sent by the client", "measured": not_sent, "bound": "<= 0",
           "met": not_sent == 0}
    faults = len(result["bad_stops"]) + len(result["fault_failures"])
    yield {"what": "failed stops and fault actions", "measured": faults, "bound": "<= 0",
           "met": faults == 0}


def check(result, experiment, deployment):
    verdicts = list(check_invariants(result, deployment))
    for target in experiment.get("targets", []):
        verdicts.extend(check_target(result, deployment, target))
    return verdicts
