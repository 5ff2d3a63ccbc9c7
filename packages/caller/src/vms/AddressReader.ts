import * as neverthrow from 'neverthrow';

import type * as links from '../links/index.js';
import type * as vmAddress from './VmAddress.js';

const READ_TIMEOUT_MS = 2_000;

/** Reason why an address answer could not be read. */
export type AddressFailure = 'unreachable' | 'unknown-service' | 'not-ready' | 'unreadable';

interface AddressResponse {
  readonly addresses: readonly vmAddress.VmAddress[];
  readonly validForMs: number;
  readonly operationPrefix?: string;
}

function isAddressAnswer(value: unknown): value is AddressResponse {
  const answer = value as Partial<AddressResponse> | null;
  return Array.isArray(answer?.addresses)
    && answer.addresses.length > 0
    && answer.addresses.every((address) => typeof address.vm === 'string' && typeof address.host === 'string' && Number.isInteger(address.port))
    && typeof answer.validForMs === 'number'
    && answer.validForMs > 0
    && (answer.operationPrefix === undefined || typeof answer.operationPrefix === 'string');
}

/** Asks one VM which VMs to use for a service. */
export class AddressReader {
  /** @param link - Connections to VMs. */
  constructor(private readonly link: links.VmLink) {}

  /**
   * Asks a VM.
   * @param source - VM to ask.
   * @param service - Name of the service.
   * @param leftMs - Greatest time to wait for the answer.
   */
  async read(
    source: vmAddress.VmAddress,
    service: string,
    leftMs = READ_TIMEOUT_MS,
  ): Promise<neverthrow.Result<vmAddress.AddressSet, AddressFailure>> {
    const reply = await this.link.send(source, {
      method: 'GET',
      path: `/-/addresses?service=${encodeURIComponent(service)}`,
      headers: [],
      body: undefined,
      timeoutMs: Math.max(0, Math.min(READ_TIMEOUT_MS, leftMs)),
      signal: undefined,
    });
    if (reply.type !== 'replied') return neverthrow.err('unreachable');
    if (reply.status !== 200) return neverthrow.err(reply.status === 404 ? 'unknown-service' : 'not-ready');
    return neverthrow.fromThrowable((text: string): unknown => JSON.parse(text), (): AddressFailure => 'unreadable')(reply.body.toString('utf8'))
      .andThen((value) => (isAddressAnswer(value) ? neverthrow.ok(AddressReader.buildSet(value, source)) : neverthrow.err('unreadable')));
  }

  private static buildSet(answer: AddressResponse, source: vmAddress.VmAddress): vmAddress.AddressSet {
    // A prefix is `<vm>.<incarnation>.<epoch>`; names of VMs have no dots.
    const home = answer.operationPrefix?.split('.')[0] ?? source.vm;
    return {
      addresses: answer.addresses.map(({ vm, host, port }) => ({ vm, host, port })),
      source: { ...source, vm: home },
      operationPrefix: answer.operationPrefix,
      validForMs: answer.validForMs,
    };
  }
}
