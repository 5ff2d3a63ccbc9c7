import type * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

import * as listSchema from './ListSchema.js';
import type * as platformFailure from './PlatformFailure.js';
import * as platformSource from './PlatformSource.js';

// Configuration documents have at most 1 MB, but the list of VMs of a large deployment is larger.
const MAX_VALUE_BYTES = 64 * 1024 * 1024;
const READ_TIMEOUT_MS = 5_000;
const STATE_HEADER = 'tamarack-platform-state';

/** Reads the values that the platform publishes over HTTP: the configuration document and the list of VMs. */
export class HttpPlatformSource extends platformSource.PlatformSource {
  private readonly agent = new undici.Agent({ connections: 2, pipelining: 1, connect: { timeout: READ_TIMEOUT_MS } });

  /** @param url - Base URL of the platform. */
  constructor(private readonly url: string) {
    super();
  }

  override readConfiguration(options: platformSource.PlatformReadOptions): platformSource.PlatformRead<string> {
    return this.readValue('/configuration', options);
  }

  override async readList(options: platformSource.PlatformReadOptions): platformSource.PlatformRead<readonly core.vms.ListEntry[]> {
    const value = await this.readValue('/vms', options);
    return value.andThen(({ content, stateToken }) => (content === undefined
      ? neverthrow.ok({ content: undefined, stateToken })
      : HttpPlatformSource.parseList(content).map((entries) => ({ content: entries, stateToken }))));
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
  }

  private static parseList(text: string): neverthrow.Result<readonly core.vms.ListEntry[], platformFailure.PlatformFailure> {
    const buildFailure = (detail: string): platformFailure.PlatformFailure => ({ type: 'unreadable', detail });
    return neverthrow.fromThrowable((json: string): unknown => JSON.parse(json), () => buildFailure('the list is not JSON'))(text)
      .andThen((value) => {
        const parsed = listSchema.LIST_SCHEMA.safeParse(value);
        if (!parsed.success) return neverthrow.err(buildFailure('the list has no array named entries'));
        // Invalid entries are skipped, so that the others stay usable.
        const entries = parsed.data.entries.flatMap((entry) => listSchema.LIST_ENTRY_SCHEMA.safeParse(entry).data ?? []);
        if (entries.length === 0 && parsed.data.entries.length > 0) return neverthrow.err(buildFailure('the list has no valid entry'));
        return neverthrow.ok(entries);
      });
  }

  private async readValue(path: string, options: platformSource.PlatformReadOptions): platformSource.PlatformRead<string> {
    const query = options.previousStateToken === undefined ? '' : `?after=${encodeURIComponent(options.previousStateToken)}&waitMs=${options.waitMs}`;
    const timeoutMs = options.waitMs + READ_TIMEOUT_MS;
    try {
      const response = await undici.request(`${this.url}${path}${query}`, {
        dispatcher: this.agent, signal: options.signal, headersTimeout: timeoutMs, bodyTimeout: READ_TIMEOUT_MS,
      });
      const header = response.headers[STATE_HEADER];
      const stateToken = typeof header === 'string' ? header : undefined;
      if (response.statusCode === 304) {
        await response.body.dump();
        return neverthrow.ok({ content: undefined, stateToken: stateToken ?? options.previousStateToken });
      }
      if (response.statusCode !== 200) {
        await response.body.dump();
        return neverthrow.err({ type: 'bad-status', status: response.statusCode });
      }
      return await HttpPlatformSource.readBody(response.body, stateToken);
    } catch (error) {
      return neverthrow.err({ type: 'unreachable', detail: error instanceof Error ? error.message : 'the read failed for an unknown reason' });
    }
  }

  private static async readBody(body: AsyncIterable<Buffer>, stateToken: string | undefined): platformSource.PlatformRead<string> {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    for await (const chunk of body) {
      receivedBytes += chunk.length;
      if (receivedBytes > MAX_VALUE_BYTES) return neverthrow.err({ type: 'too-large' });
      chunks.push(chunk);
    }
    return neverthrow.ok({ content: Buffer.concat(chunks).toString('utf8'), stateToken });
  }
}
