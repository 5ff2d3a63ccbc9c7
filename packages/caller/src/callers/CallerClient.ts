import * as crypto from 'node:crypto';
import type * as core from '@tamarackferry/core';

import * as links from '../links/index.js';
import * as vms from '../vms/index.js';
import type * as callerRequest from './CallerRequest.js';
import * as idempotentFlow from './IdempotentFlow.js';
import * as operationFlow from './OperationFlow.js';
import type * as requestFlow from './RequestFlow.js';

// Several clients may receive the same operation prefix, so each adds a random token to its operation ids.
// The token does not come from the seeded random source, since two clients with the same seed would build the same ids.
const CLIENT_TOKEN_BYTES = 12;

/** Options of a `CallerClient`. */
export interface CallerClientOptions {
  /** Addresses of some entry VMs. The client reads from them which VMs to use for a service. */
  readonly seeds: readonly { readonly host: string; readonly port: number }[];
  /** Member that the caller belongs to. */
  readonly member: string;
  /** Key of the member. Omitted or empty if the configuration document of tamarackferry declares none. */
  readonly memberKey?: string;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
}

/** Client that applications use to send requests to upstream services through the entry VMs. */
export class CallerClient {
  private readonly link: links.VmLink;

  private readonly addressReader: vms.AddressReader;

  private readonly addressBook: vms.AddressBook;

  private readonly clientToken = crypto.randomBytes(CLIENT_TOKEN_BYTES).toString('base64url');

  private operationCount = 0;

  /** @param options - Seeds, member and dependencies. */
  constructor(private readonly options: CallerClientOptions) {
    const { timers, random } = options;
    this.link = new links.VmLink(timers);
    this.addressReader = new vms.AddressReader(this.link);
    this.addressBook = new vms.AddressBook({
      seeds: options.seeds.map(({ host, port }) => ({ vm: '', host, port })), addressReader: this.addressReader, timers, random,
    });
  }

  /**
   * Sends a request and retries it where a retry cannot run a non-idempotent request twice.
   * Resolves to the answer, or to the reason why there is none and whether the request may have run.
   * @param request - Request to send.
   */
  send(request: callerRequest.CallerRequest): Promise<requestFlow.FlowResult> {
    const { timers, member, memberKey = '' } = this.options;
    const options = {
      request, member, memberKey, addressBook: this.addressBook, link: this.link, timers,
    };
    const flow: requestFlow.RequestFlow = request.repeatability === 'idempotent'
      ? new idempotentFlow.IdempotentFlow(options)
      : new operationFlow.OperationFlow({ ...options, addressReader: this.addressReader, buildIdSuffix: () => this.buildIdSuffix() });
    return flow.run();
  }

  /** Closes all connections and stops the refreshes of addresses. */
  async close(): Promise<void> {
    this.addressBook.close();
    await this.link.close();
  }

  private buildIdSuffix(): string {
    this.operationCount += 1;
    return `${this.clientToken}-${this.operationCount}`;
  }
}
