// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that each hop sets itself.
const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'host', 'content-length', 'expect',
]);

/** Header names that Node.js writes. */
export const HEADER_NAME_PATTERN = /^[\^_`a-z\-0-9!#$%&'*+.|~]+$/;
/** Header values that Node.js writes, one character for each byte. */
export const HEADER_VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Decides which headers pass from one hop to the next. */
export class HeaderFilter {
  /**
   * Lists the request headers that go on to the upstream.
   * @param fields - Header fields of the request by lower-case name.
   */
  static filterRequestHeaders(fields: NodeJS.Dict<string | string[]>): readonly (readonly [string, string])[] {
    return HeaderFilter.filterHeaders(Object.entries(fields));
  }

  /**
   * Lists the answer headers that go on to the caller.
   * @param fields - Header fields of the answer by lower-case name.
   */
  static filterResponseHeaders(fields: ReadonlyMap<string, readonly string[]>): readonly (readonly [string, string])[] {
    return HeaderFilter.filterHeaders([...fields]);
  }

  /**
   * Filters header fields in the order and spelling in which they were received.
   * @param rawFields - Names and values in turn.
   * @param dropped - Lower-case names that are dropped besides those of one connection.
   */
  static filterRawHeaders(rawFields: readonly string[], dropped: ReadonlySet<string>): string[] {
    const listed = new Set<string>();
    const kept: string[] = [];
    // Loops over pairs, since this runs twice for each request.
    for (let index = 0; index < rawFields.length; index += 2) {
      if (rawFields[index]!.toLowerCase() === 'connection') {
        rawFields[index + 1]!.toLowerCase().split(',').forEach((name) => listed.add(name.trim()));
      }
    }
    for (let index = 0; index < rawFields.length; index += 2) {
      const name = rawFields[index]!.toLowerCase();
      const value = rawFields[index + 1]!;
      if (
        !HOP_BY_HOP_HEADERS.has(name) && !listed.has(name) && !dropped.has(name)
        && HEADER_NAME_PATTERN.test(name) && HEADER_VALUE_PATTERN.test(value)
      ) {
        kept.push(rawFields[index]!, value);
      }
    }
    return kept;
  }

  private static filterHeaders(
    entries: readonly (readonly [string, string | readonly string[] | undefined])[],
  ): readonly (readonly [string, string])[] {
    const named = entries.find(([name]) => name === 'connection')?.[1] ?? '';
    const listed = new Set(String(named).toLowerCase().split(',').map((name) => name.trim()));
    return entries
      .filter(([name]) => !HOP_BY_HOP_HEADERS.has(name) && !listed.has(name) && !name.startsWith('tamarack-'))
      .flatMap(([name, value]) => (typeof value === 'string' ? [value] : value ?? []).map((single) => [name, single] as const))
      // Node.js throws when a header with other characters is written.
      .filter(([name, value]) => HEADER_NAME_PATTERN.test(name) && HEADER_VALUE_PATTERN.test(value));
  }
}
