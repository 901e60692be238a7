package rules

// routeRules are the rules about references and routes.
var routeRules = []Rule{
	{
		ID: UnknownService, Group: groupRef,
		What:    "a reference to an undeclared service",
		Why:     "requests to it could not be forwarded",
		Instead: "declare the service or correct the name",
	},
	{
		ID: UnknownClass, Group: groupRef,
		What:    "a reference to a class that the service does not have",
		Why:     "the class decides whether a request may be retried",
		Instead: "use a class of the service",
	},
	{
		ID: UnknownZone, Group: groupRef,
		What:    "a zone that is not in the zones of the service",
		Why:     "the backends of the zone could not be identified when the zone fails",
		Instead: "add the zone to zones",
	},
	{
		ID: UnknownTenant, Group: groupRef,
		What:    "a tenant that is not in the tenants of the service",
		Why:     "its quota would apply to no tenant",
		Instead: "add the tenant to the tenants of the service",
	},
	{
		ID: UnknownListener, Group: groupRef,
		What:    "a reference to an undeclared listener",
		Why:     "no request would reach the route",
		Instead: "declare the listener or correct the name",
	},
	{
		ID: RouteMatch, Group: groupRoute,
		What:    "a host, path, method or header field that can't match any request",
		Why:     "requests are matched in canonical form",
		Instead: "write the canonical form",
	},
	{
		ID: RouteDead, Group: groupRoute,
		What:    "a route that no request can reach",
		Why:     "an earlier route matches all its requests, so its settings never apply",
		Instead: "move the route before the earlier one or remove it",
	},
	{
		ID: Rewrite, Group: groupRoute,
		What:    "a rewrite_prefix without prefix, or not in canonical form",
		Why:     "the backend would get an unintended path",
		Instead: "use rewrite_prefix with prefix, and write it in canonical form",
	},
	{
		ID: SplitWeights, Group: groupRoute,
		What:    "a split with invalid weights",
		Why:     "the distribution of requests would be undefined",
		Instead: "list each arm once with a weight, at least one of them above 0",
	},
	{
		ID: SplitRepeat, Group: groupRoute,
		What:    "a split whose arms have classes of different repeat rules",
		Why:     "the choice of an arm would decide whether a request may be retried",
		Instead: "split over classes with the same repeat rule",
	},
	{
		ID: SplitScope, Group: groupRoute, Since: 2,
		What:    "a split that may send requests with the same key to two dedup scopes",
		Why:     "each scope would run the request once, so its effect would happen twice",
		Instead: "split a keyed class only by its key, over arms with the same scope, window and key",
	},
	{
		ID: Mirror, Group: groupRoute,
		What:    "a mirror of or to a class that is not safe",
		Why:     "the copy runs in addition to the request, so its effect would happen twice",
		Instead: "mirror only safe classes to safe classes, or remove the mirror",
	},
}
