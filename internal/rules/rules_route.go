package rules

// routeRules are the rules about references and routes.
var routeRules = []Rule{
	{
		ID: UnknownService, Group: groupRef,
		What:    "a service that nobody declares",
		Why:     "its requests would lead nowhere",
		Instead: "declare it, or use the name that is meant",
	},
	{
		ID: UnknownClass, Group: groupRef,
		What:    "a class that its service does not have",
		Why:     "without its class nobody knows whether a request may run twice",
		Instead: "use a class of the service",
	},
	{
		ID: UnknownZone, Group: groupRef,
		What:    "a zone that the service does not name",
		Why:     "its backends could not be told apart when a zone is lost",
		Instead: "name it in zones",
	},
	{
		ID: UnknownTenant, Group: groupRef,
		What:    "a tenant that the service does not name",
		Why:     "its share would be nobody's",
		Instead: "name it in the service's tenants",
	},
	{
		ID: UnknownListener, Group: groupRef,
		What:    "a listener that is not declared",
		Why:     "no request would reach the route",
		Instead: "declare it, or use the name that is meant",
	},
	{
		ID: RouteMatch, Group: groupRoute,
		What:    "a host, path, method or field that can match nothing as written",
		Why:     "requests are matched in canonical form",
		Instead: "write the canonical form",
	},
	{
		ID: RouteDead, Group: groupRoute,
		What:    "a route that no request can reach",
		Why:     "it says that something holds which does not",
		Instead: "move it before the one that takes its requests, or remove it",
	},
	{
		ID: Rewrite, Group: groupRoute,
		What:    "a prefix put in where none is taken off, or not in canonical form",
		Why:     "the backend would get another path than was meant",
		Instead: "use it with prefix, in canonical form",
	},
	{
		ID: SplitWeights, Group: groupRoute,
		What:    "weights of a split that make no sense",
		Why:     "nobody could tell where requests go",
		Instead: "give each side once, with a weight; one must be above 0",
	},
	{
		ID: SplitRepeat, Group: groupRoute,
		What:    "a split whose sides disagree on what may be repeated",
		Why:     "a request's rule would depend on chance",
		Instead: "split over classes of one repeat rule",
	},
	{
		ID: SplitScope, Group: groupRoute, Since: 2,
		What:    "a split that may send one key to two scopes",
		Why:     "each scope would run it once: the effect happens twice",
		Instead: "split a keyed class by its key alone, over sides of equal scope, window and key",
	},
	{
		ID: Mirror, Group: groupRoute,
		What:    "a copy of requests of, or to, a class that is not safe",
		Why:     "a copy runs beside the request: the effect happens twice",
		Instead: "mirror safe classes to safe classes, or take the mirror out",
	},
}
