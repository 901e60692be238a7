package catalogue

// Start is a small catalogue to begin with: two services, two applications and two environments. It is accepted by all
// rules as it stands.
func Start() []File {
	return []File{
		{"services.toml", []byte(`catalogue = 1

# A service has one owner, who states what may run again. Everybody who calls it gets exactly that.
[services.tariff]
team = "tariffs"
trusted = true
retry_budget = { share = 0.05 }
[services.tariff.pods.first]
cell = 1
endpoints = [
  { name = "tariff-1", address = "127.0.0.1:9001" },
  { name = "tariff-2", address = "127.0.0.1:9002" },
]
[services.tariff.classes.tariff-lookup]
repeat = "safe"          # may run any number of times
objective = "300ms"
deadline = "1s"
routes = [{ prefix = "/tariffs", methods = ["GET", "HEAD"] }]

[services.billing]
team = "billing"
trusted = true
retry_budget = { share = 0.05 }
[services.billing.tenants.partner-a]
portion = 0.6
quota = 200
[services.billing.tenants.partner-b]
portion = 0.4
quota = 100
[services.billing.pods.east]
cell = 1
endpoints = [
  { name = "billing-1", address = "127.0.0.1:9011" },
  { name = "billing-2", address = "127.0.0.1:9012" },
]
[services.billing.classes.usage-rate]
repeat = "keyed"         # a pod drops a key that it has seen, for 7.5 s
dedup_scope = "cell"
dedup_window = "7.5s"
key = "Idempotency-Key"
objective = "500ms"
deadline = "2s"
routes = [{ exact = "/usage", methods = ["POST"] }]
[services.billing.classes.charge-post]
repeat = "unsafe"        # never sent again once it may have run
worth = 5
objective = "700ms"
deadline = "2s"
routes = [{ template = "/accounts/{account}/charges", methods = ["POST"] }]
`)},
		{"applications.toml", []byte(`catalogue = 1

# An application says what it calls, and for how long it can wait.
[applications.gateway]
team = "front"
host = "node-1"
listeners = [{ address = "127.0.0.1:8080" }]
process = { cores = 1, memory_mb = 128, sockets = 1024 }
[applications.gateway.calls.tariff]
time_limit = "800ms"
[applications.gateway.calls.billing]
share = 0.7
tenants = ["partner-a", "partner-b"]

[applications.reports]
team = "reporting"
host = "node-1"
listeners = [{ address = "127.0.0.1:8081" }]
process = { cores = 0.5, memory_mb = 64, sockets = 256 }
[applications.reports.calls.tariff]
[applications.reports.calls.billing]
share = 0.3
[applications.reports.calls.billing.classes.usage-rate]
time_limit = "1500ms"
`)},
		{"environments.toml", []byte(`catalogue = 1

# An environment changes figures and addresses, and never what may run again.
[environments.local]

[environments.staging.services.tariff.pods.first]
endpoints = [{ name = "tariff-s", address = "127.0.0.1:9101" }]
[environments.staging.applications.gateway.process]
memory_mb = 64
`)},
	}
}
