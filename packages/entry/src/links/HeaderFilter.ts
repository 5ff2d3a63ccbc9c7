// Headers that apply to one connection only (RFC 9110, section 7.6.1), and headers that each hop sets itself.
const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'host', 'content-length', 'expect',
]);

/** Lower-case header names that Node.js accepts when it writes headers. */
export const HEADER_NAME_PATTERN = /^[\^_`a-z\-0-9!#$%&'*+.|~]+$/;
/** Header values, with one character for each byte, that Node.js accepts when it writes headers. */
export const HEADER_VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Selects the headers that are passed from one hop to the next. */
export class HeaderFilter {
  /**
   * Returns the request headers that are passed to the upstream, without hop-by-hop and `tamarack-` headers.
   * @param headers - Headers of the request by lower-case name.
   */
  static filterRequestHeaders(headers: NodeJS.Dict<string | string[]>): readonly (readonly [string, string])[] {
    return HeaderFilter.filterHeaders(Object.entries(headers));
  }

  /**
   * Returns the response headers that are passed to the caller, without hop-by-hop and `tamarack-` headers.
   * @param headers - Headers of the response by lower-case name.
   */
  static filterResponseHeaders(headers: ReadonlyMap<string, readonly string[]>): readonly (readonly [string, string])[] {
    return HeaderFilter.filterHeaders([...headers]);
  }

  /**
   * Removes hop-by-hop headers. Keeps the order and the spelling in which the other headers were received.
   * @param rawHeaders - Names and values of the headers alternately.
   * @param excludedNames - Lower-case names of headers that are removed in addition.
   */
  static filterRawHeaders(rawHeaders: readonly string[], excludedNames: ReadonlySet<string>): string[] {
    // Names listed in the `connection` header, which apply to one connection only.
    const connectionNames = new Set<string>();
    const kept: string[] = [];
    // Plain loops over pairs for speed, since this method is called twice for each request.
    for (let index = 0; index < rawHeaders.length; index += 2) {
      if (rawHeaders[index]!.toLowerCase() === 'connection') {
        rawHeaders[index + 1]!.toLowerCase().split(',').forEach((name) => connectionNames.add(name.trim()));
      }
    }
    for (let index = 0; index < rawHeaders.length; index += 2) {
      const name = rawHeaders[index]!.toLowerCase();
      const value = rawHeaders[index + 1]!;
      if (
        !HOP_BY_HOP_HEADERS.has(name) && !connectionNames.has(name) && !excludedNames.has(name)
        && HEADER_NAME_PATTERN.test(name) && HEADER_VALUE_PATTERN.test(value)
      ) {
        kept.push(rawHeaders[index]!, value);
      }
    }
    return kept;
  }

  private static filterHeaders(
    entries: readonly (readonly [string, string | readonly string[] | undefined])[],
  ): readonly (readonly [string, string])[] {
    const connectionHeader = entries.find(([name]) => name === 'connection')?.[1] ?? '';
    const connectionNames = new Set(String(connectionHeader).toLowerCase().split(',').map((name) => name.trim()));
    return entries
      .filter(([name]) => !HOP_BY_HOP_HEADERS.has(name) && !connectionNames.has(name) && !name.startsWith('tamarack-'))
      .flatMap(([name, value]) => (typeof value === 'string' ? [value] : value ?? []).map((singleValue) => [name, singleValue] as const))
      // Node.js throws if a header with other characters is written.
      .filter(([name, value]) => HEADER_NAME_PATTERN.test(name) && HEADER_VALUE_PATTERN.test(value));
  }
}
