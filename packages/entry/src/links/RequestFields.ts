import * as headerFilter from './HeaderFilter.js';

// A header that selects the receiver or delimits the body may occur once only, since two readers could use different occurrences.
const SINGLE_FIELDS = ['host', 'content-length', 'transfer-encoding'] as const;

/**
 * Checks the header fields of a request as they were received. What this process refuses does not depend on how strict the HTTP parser of
 * the runtime is: some versions of it accept names with spaces, for example.
 */
export class RequestFields {
  /**
   * Describes the first field that could be read differently by another HTTP implementation, which would allow request smuggling.
   * Undefined if all fields are valid.
   * @param rawFields - Names and values of the header fields alternately, as received.
   */
  static describeInvalid(rawFields: readonly string[]): string | undefined {
    const names = rawFields.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
    const invalidName = names.find((name) => !headerFilter.HEADER_NAME_PATTERN.test(name));
    if (invalidName !== undefined) return `the header name ${JSON.stringify(invalidName)} is not a token`;
    const invalidValue = rawFields.findIndex((value, index) => index % 2 === 1 && !headerFilter.HEADER_VALUE_PATTERN.test(value));
    if (invalidValue >= 0) return `the value of ${names[(invalidValue - 1) / 2]} has control characters`;
    const repeated = SINGLE_FIELDS.find((field) => names.indexOf(field) !== names.lastIndexOf(field));
    if (repeated !== undefined) return `${repeated} is given more than once`;
    return names.includes('content-length') && names.includes('transfer-encoding')
      ? 'content-length and transfer-encoding exclude each other'
      : undefined;
  }
}
