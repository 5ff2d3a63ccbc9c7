import * as zod from 'zod';

const LINE_SCHEMA = zod.looseObject({ ms: zod.number(), vm: zod.string(), event: zod.string() });

/** Line of the JSON log of a front process, the process that runs on a VM and forwards requests. */
export interface LogLine {
  /** Time since the start of the process, in milliseconds, from a monotonic clock. */
  readonly ms: number;
  readonly vm: string;
  readonly event: string;
  /** All fields of the line, including `ms`, `vm` and `event`. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a log line. Any text before its JSON object, such as a timestamp that the log collector added, is skipped. Undefined if the line
 * has no valid object.
 * @param text - Line as the log collector stored it.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = LINE_SCHEMA.safeParse(JSON.parse(text.slice(start)));
    return parsed.success
      ? {
        ms: parsed.data.ms, vm: parsed.data.vm, event: parsed.data.event, fields: parsed.data,
      }
      : undefined;
  } catch {
    return undefined;
  }
}
