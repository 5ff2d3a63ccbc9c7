import type * as route from './Route.js';

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private readonly hosts = new Map<string, Map<string, route.Route>>();

  /** @param routes - Routes of one configuration. */
  constructor(routes: readonly route.Route[]) {
    routes.forEach((added) => {
      const host = added.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, route.Route>();
      prefixes.set(added.prefix, added);
      this.hosts.set(host, prefixes);
    });
  }

  /**
   * Gets the route of a request, or undefined if none matches.
   * @param host - Value of the host header; a port is ignored.
   * @param path - Path of the request; a query is ignored.
   */
  getRoute(host: string, path: string): route.Route | undefined {
    const prefixes = this.hosts.get(host.toLowerCase().replace(/:\d*$/, ''));
    if (prefixes === undefined) return undefined;
    const queryStart = path.indexOf('?');
    const pathOnly = queryStart < 0 ? path : path.slice(0, queryStart);
    // Prefixes end with a slash, so that the cost follows the depth of the path and not the number of routes.
    for (let end = pathOnly.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : pathOnly.lastIndexOf('/', end - 1)) {
      const found = prefixes.get(pathOnly.slice(0, end + 1));
      if (found !== undefined) return found;
    }
    return undefined;
  }
}
