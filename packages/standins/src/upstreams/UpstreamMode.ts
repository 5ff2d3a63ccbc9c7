/**
 * How an instance serves. All but `prompt` are gray: the health endpoint goes on to report a healthy instance.
 * - `prompt`: complete answers in the service time.
 * - `slow`: service time ten times as long.
 * - `late`: runs in time, answers seconds later.
 * - `failing`: status 500.
 * - `truncated`: half of the answer, then the connection closes.
 * - `crossed`: id and body of another request.
 * - `flapping`: changes between prompt and failing after every few requests.
 * - `silent`: runs, never answers.
 * - `resetting`: runs, then closes the connection.
 */
export type UpstreamMode =
  | 'prompt' | 'slow' | 'late' | 'failing' | 'truncated' | 'crossed' | 'flapping' | 'silent' | 'resetting';

/** All modes. */
export const UPSTREAM_MODES: readonly UpstreamMode[] = [
  'prompt', 'slow', 'late', 'failing', 'truncated', 'crossed', 'flapping', 'silent', 'resetting',
];

/** Whether the instance takes work: `announcing` still serves and says that it leaves, `refusing` runs nothing more. */
export type DrainState = 'open' | 'announcing' | 'refusing';

/** What health and load endpoints report: the truth, the truth of some time ago, or always a healthy and idle instance. */
export type ReportState = 'exact' | 'lagging' | 'misleading';
