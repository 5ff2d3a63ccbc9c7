import type * as contracts from '../contracts/index.js';

/** Finds the kind of a request by its method and the longest matching path prefix. */
export class KindMatcher {
  private readonly kindsByMethod = new Map<string, contracts.RequestKind[]>();

  /** @param kinds - Kinds that a service declares. */
  constructor(kinds: readonly contracts.RequestKind[]) {
    [...kinds].sort((left, right) => right.pathPrefix.length - left.pathPrefix.length).forEach((kind) => {
      const kindsOfMethod = this.kindsByMethod.get(kind.method);
      if (kindsOfMethod === undefined) this.kindsByMethod.set(kind.method, [kind]);
      else kindsOfMethod.push(kind);
    });
  }

  /**
   * Finds the kind of a request; undefined if none matches.
   * @param method - HTTP method.
   * @param path - Path relative to the service.
   */
  findKind(method: string, path: string): contracts.RequestKind | undefined {
    return this.kindsByMethod.get(method)?.find((kind) => path.startsWith(kind.pathPrefix));
  }
}
