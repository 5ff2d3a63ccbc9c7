import * as zod from 'zod';

const LINE_SCHEMA = zod.looseObject({ ms: zod.number(), vm: zod.string(), event: zod.string() });

/** Line of the log of a front process. */
export interface LogLine {
  /** Steady time of the process, in milliseconds since its start. */
  readonly ms: number;
  readonly vm: string;
  readonly event: string;
  /** All fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Decodes a line. What stands before its JSON object, such as the time of a collector, is skipped.
 * @param text - Line as collected.
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
