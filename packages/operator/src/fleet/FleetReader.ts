import type * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

const READ_TIMEOUT_MS = 2_000;

/** Status of one VM, or the reason why it could not be read. */
export type VmStatusResult =
  | { readonly type: 'read'; readonly vm: string; readonly status: core.vms.VmStatus }
  | { readonly type: 'unreachable'; readonly vm: string; readonly detail: string };

/** Report of one VM on the requests of one member (evidence); `unknown` if it could not be read. */
export type MemberReportResult =
  | { readonly type: 'read'; readonly vm: string; readonly report: core.callers.MemberReport }
  | { readonly type: 'unknown'; readonly vm: string };

/** Reads the status and the member reports of the entry VMs that the platform lists. */
export class FleetReader {
  /** @param platformUrl - Base URL of the platform. */
  constructor(private readonly platformUrl: string) {}

  /** Reads the status of all listed entry VMs. An error is returned only if the list cannot be read. */
  async readStatus(): Promise<neverthrow.Result<readonly VmStatusResult[], string>> {
    const listed = await this.readEntryVms();
    return listed.asyncMap((entries) => Promise.all(entries.map(async (entry): Promise<VmStatusResult> => {
      const status = await FleetReader.fetchJson<core.vms.VmStatus>(`http://${entry.host}:${entry.port}/-/status`);
      return status.match(
        (value): VmStatusResult => ({ type: 'read', vm: entry.name, status: value }),
        (detail): VmStatusResult => ({ type: 'unreachable', vm: entry.name, detail }),
      );
    })));
  }

  /**
   * Reads the reports on one member from all listed entry VMs. An error is returned only if the list cannot be read.
   * @param member - Name of the member.
   * @param key - Access key of the member; empty if the member has none.
   */
  async readMemberReports(member: string, key: string): Promise<neverthrow.Result<readonly MemberReportResult[], string>> {
    const listed = await this.readEntryVms();
    return listed.asyncMap((entries) => Promise.all(entries.map(async (entry): Promise<MemberReportResult> => {
      const url = `http://${entry.host}:${entry.port}/-/evidence?member=${encodeURIComponent(member)}`;
      const report = await FleetReader.fetchJson<core.callers.MemberReport>(url, key === '' ? {} : { 'tamarack-member-key': key });
      return report.match(
        (value): MemberReportResult => ({ type: 'read', vm: entry.name, report: value }),
        (): MemberReportResult => ({ type: 'unknown', vm: entry.name }),
      );
    })));
  }

  private async readEntryVms(): Promise<neverthrow.Result<readonly core.vms.EntryVmListEntry[], string>> {
    const list = await FleetReader.fetchJson<{ entries: readonly core.vms.ListEntry[] }>(`${this.platformUrl}/vms`);
    return list.map(({ entries }) => entries.filter((entry) => entry.role === 'entry'));
  }

  private static async fetchJson<Value>(url: string, headers: Record<string, string> = {}): Promise<neverthrow.Result<Value, string>> {
    return neverthrow.ResultAsync.fromPromise((async () => {
      const response = await undici.request(url, { headers, headersTimeout: READ_TIMEOUT_MS, bodyTimeout: READ_TIMEOUT_MS });
      if (response.statusCode !== 200) {
        await response.body.dump();
        return neverthrow.err<Value, string>(`status ${response.statusCode}`);
      }
      return neverthrow.ok<Value, string>(await response.body.json() as Value);
    })(), (error) => (error instanceof Error ? error.message : 'no response')).andThen((result) => result);
  }
}
