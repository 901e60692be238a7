package check_test

// seedCatalogue is the catalogue that is mutated: a chain of two tiers with classes of every kind.
// @0, @1 and so on are placeholders for the addresses of its backends.
const seedCatalogue = `catalogue = 1

[services.roaming]
team = "roaming"
trusted = true
retry_budget = { share = 0.05, free = 100 }
[services.roaming.pods.one]
cell = 1
endpoints = [{ name = "r1", address = "@0" }, { name = "r2", address = "@1" }]
[services.roaming.pods.two]
cell = 2
endpoints = [{ name = "r3", address = "@2" }, { name = "r4", address = "@3" }]
[services.roaming.classes.quote]
repeat = "safe"
objective = "100ms"
deadline = "800ms"
routes = [{ prefix = "/quote" }]
[services.roaming.classes.rate]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "2s"
key = "Idempotency-Key"
objective = "100ms"
deadline = "800ms"
routes = [{ exact = "/rate", methods = ["POST"] }]
[services.roaming.classes.book]
repeat = "unsafe"
objective = "100ms"
deadline = "800ms"
routes = [{ template = "/accounts/{id}/book", methods = ["POST"] }]

[services.billing]
team = "billing"
trusted = true
zones = ["a", "b"]
retry_budget = { share = 0.05, free = 100 }
tenants = { acme = { portion = 0.5, quota = 1000 }, beta = { portion = 0.5 } }
[services.billing.pods.east]
cell = 1
zone = "a"
endpoints = [{ name = "b1", address = "@4" }, { name = "b2", address = "@5" }]
[services.billing.pods.west]
cell = 2
zone = "b"
endpoints = [{ name = "b3", address = "@6" }, { name = "b4", address = "@7" }]
[services.billing.classes.usage]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "1500ms"
key = "Idempotency-Key"
objective = "80ms"
deadline = "700ms"
routes = [{ exact = "/usage", methods = ["POST"] }]
[services.billing.classes.post]
repeat = "unsafe"
objective = "80ms"
deadline = "700ms"
formerly = ["charge"]
routes = [{ template = "/accounts/{id}/charges", methods = ["POST"] }]
[services.billing.classes.look]
repeat = "safe"
objective = "80ms"
deadline = "700ms"
routes = [{ prefix = "/tariffs" }]

[services.billing-next]
team = "billing"
trusted = true
retry_budget = { share = 0.05, free = 100 }
[services.billing-next.pods.east]
cell = 1
endpoints = [{ name = "n1", address = "@8" }, { name = "n2", address = "@9" }]
[services.billing-next.pods.west]
cell = 2
endpoints = [{ name = "n3", address = "@10" }, { name = "n4", address = "@11" }]
[services.billing-next.classes.usage]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "1500ms"
key = "Idempotency-Key"
objective = "80ms"
deadline = "700ms"
[services.billing-next.classes.look]
repeat = "safe"
objective = "80ms"
deadline = "700ms"

[applications.portal]
team = "front"
host = "h1"
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = 256, memory_mb = 64 }
[applications.portal.calls.roaming]
time_limit = "750ms"
share = 0.5

[applications.desk]
team = "roaming"
host = "h1"
zone = "a"
serves = ["roaming"]
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = 256, memory_mb = 64 }
[applications.desk.calls.billing]
time_limit = "400ms"
for = ["roaming/quote"]
[applications.desk.calls.billing.classes.usage]
for = ["roaming/rate"]
[applications.desk.calls.billing.classes.post]
for = ["roaming/book"]
[applications.desk.calls.billing.classes.look]
mirror = { service = "billing-next", class = "look" }

[applications.clerk]
team = "desk"
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = 256, memory_mb = 64 }
[applications.clerk.calls.billing]
tenants = ["acme"]
[applications.clerk.calls.billing.classes.usage]
[applications.clerk.calls.billing.classes.look]

[applications.splitter]
team = "billing"
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = 256, memory_mb = 64 }
[applications.splitter.calls.billing]
split = [{ service = "billing", weight = 3 }, { service = "billing-next", weight = 1 }]
[applications.splitter.calls.billing.classes.usage]
`
