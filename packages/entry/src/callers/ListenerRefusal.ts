/** Reason why the listener refuses a request without passing it to `core.vms.Vm`. */
export type ListenerRefusalReason =
  | 'malformed-request'
  | 'header-too-large'
  | 'request-timeout'
  | 'body-too-large'
  | 'path-invalid'
  | 'deadline-invalid'
  | 'member-key-invalid'
  | 'unknown-page'
  | 'method-not-allowed'
  | 'no-configuration';

/** Refusal of a request by the listener. */
export interface ListenerRefusal {
  readonly reason: ListenerRefusalReason;
  /** Short description for the problem document. */
  readonly detail: string;
}

/** Status code of the response for each reason. */
export const REFUSAL_STATUS: Readonly<Record<ListenerRefusalReason, number>> = {
  'malformed-request': 400,
  'header-too-large': 431,
  'request-timeout': 408,
  'body-too-large': 413,
  'path-invalid': 400,
  'deadline-invalid': 400,
  'member-key-invalid': 403,
  'unknown-page': 404,
  'method-not-allowed': 405,
  'no-configuration': 503,
};

/**
 * Converts an error of the HTTP server of Node.js into a refusal.
 * @param code - Error code, such as `HPE_HEADER_OVERFLOW`.
 */
export function toRefusal(code: string): ListenerRefusal {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return { reason: 'request-timeout', detail: 'the request did not arrive in time' };
  if (code === 'HPE_HEADER_OVERFLOW') return { reason: 'header-too-large', detail: 'the head of the request is too large' };
  return { reason: 'malformed-request', detail: 'the request is not valid HTTP/1.1' };
}
