# Licensed under the Apache License 2.0: see LICENSE for details.

"""Names of headers, paths and object kinds on the users' platform."""

from __future__ import annotations

# Headers of requests.
REQUEST_ID = "Request-Id"
# Milliseconds for which the caller still waits, not a point in time.
TIME_LEFT = "Deadline"
MODEL = "Model"
# Tokens of the prompt and, behind a comma, the most that may be written.
TOKENS = "Token-Count"
# The parts of the prompt in order, each as ID:TOKENS; not a hash.
PROMPT_PARTS = "Prefix-Hash"
LAST_EVENT = "Last-Event-Id"
SESSION = "Session"
LENGTH_HINT = "Length-Hint"
# Set by this router only.
ORGANISATION = "Tenant"
EXPECTED_INSTANCE = "Target-Instance"
URGENCY = "Request-Priority"

# Headers of answers.
# The endpoint's signature under its answer.
SEAL = "Reply-Seal"
# Present where the endpoint did not begin the request and never will.
NOT_RUN = "Not-Run"
# Requests running, requests waiting and slots.
LOAD = "Load"
# The model's own opinion of its answer, 0 to 100.
CONFIDENCE = "Confidence"
# Of an answer of ours: when the caller may come back.  Of an endpoint's 503: for how
# long the endpoint wants nothing from this VM.  Seconds, with fractions, or a date.
RETRY_AFTER = "Retry-After"
DATE = "Date"
# 1 in all answers of an endpoint that is about to end.
LEAVING = "Server-Leaving"
# The requests a second that an endpoint takes from all VMs together, not from each;
# absent while it is not limited.
RATE_LIMIT = "Server-Limit"
# The requests a second that an endpoint may reject for want of room before it crashes;
# absent while it is sturdy.
BRITTLE = "Server-Brittle"

# Headers of the store's answers.
# Rises by one each time the store is restored from a backup.
ERA = "Store-Era"

# What a caller may not set: it would reserve or move an engine's memory, name
# an organisation, or choose an instance.
OWN_HEADERS = frozenset(
    {
        "tenant",
        "target-instance",
        "request-priority",
        "expect-version",
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
    }
)

# The value of ``Model`` that leaves the choice to this router.
ANY_MODEL = "*"

READY_PATH = "/v1/ready"
OBJECTS_PATH = "/v1/objects"

# Kinds of objects in the store.
KIND_CONFIGURATION = "config"
CONFIGURATION_NAME = "main"
KIND_INSTANCES = "servers"
KIND_ROLLOUTS = "rollouts"
# An object of this kind stands for a data hall, by its name, whose endpoints are to get
# nothing more; it has no content.
KIND_EMPTIED = "evacuations"
# A kind of our own: the entry VMs.
KIND_VMS = "entry-vms"
# Begins the kinds that hold values of our own interface.
OWN_KIND_PREFIX = "walnutquay-"

STATUS_MISDIRECTED = 421
