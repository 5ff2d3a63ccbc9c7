import type * as contracts from '../contracts/index.js';

/** Finds the kind of a request by its method and the longest matching path prefix. */
export class KindMatcher {
  private readonly kindsByMethod = new Map<string, contracts.RequestKind[]>();

  /** @param kinds - Kinds that a service declares. */
  constructor(kinds: readonly contracts.RequestKind[]) {
    [...kinds].sort((left, right) => right.pathPrefix.length - left.pathPrefix.length).forEach((kind) => {
      const ofMethod = this.kindsByMethod.get(kind.method);
      if (ofMethod === undefined) this.kindsByMethod.set(kind.method, [kind]);
      else ofMethod.push(kind);
    });
  }

  /**
   * Finds the kind of a request; undefined if none matches.
   * @param method - HTTP method.
   * @param path - Path below the service.
   */
  findKind(method: string, path: string): contracts.RequestKind | undefined {
    return this.kindsByMethod.get(method)?.find((kind) => path.startsWith(kind.pathPrefix));
  }
}
