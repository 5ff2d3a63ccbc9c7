import * as neverthrow from 'neverthrow';

import type * as links from '../links/index.js';
import type * as vmAddress from './VmAddress.js';

const READ_TIMEOUT_MS = 2_000;

/** Reason why the addresses of a service could not be read from a VM. */
export type AddressFailure = 'unreachable' | 'unknown-service' | 'not-ready' | 'unreadable';

interface AddressResponse {
  readonly addresses: readonly vmAddress.VmAddress[];
  readonly validForMs: number;
  readonly operationPrefix?: string;
}

function isAddressResponse(value: unknown): value is AddressResponse {
  const response = value as Partial<AddressResponse> | null;
  return Array.isArray(response?.addresses)
    && response.addresses.length > 0
    && response.addresses.every((address) => typeof address.vm === 'string' && typeof address.host === 'string' && Number.isInteger(address.port))
    && typeof response.validForMs === 'number'
    && response.validForMs > 0
    && (response.operationPrefix === undefined || typeof response.operationPrefix === 'string');
}

/** Fetches from one VM the addresses of the VMs that serve requests for a service. */
export class AddressReader {
  /** @param link - Sends requests to VMs. */
  constructor(private readonly link: links.VmLink) {}

  /**
   * Fetches the addresses from a VM.
   * @param source - VM that receives the request.
   * @param service - Name of the service.
   * @param remainingMs - Time until the deadline of the request, in milliseconds. The read waits no longer than this and its own time-out.
   */
  async read(
    source: vmAddress.VmAddress,
    service: string,
    remainingMs = READ_TIMEOUT_MS,
  ): Promise<neverthrow.Result<vmAddress.AddressSet, AddressFailure>> {
    const result = await this.link.send(source, {
      method: 'GET',
      path: `/-/addresses?service=${encodeURIComponent(service)}`,
      headers: [],
      body: undefined,
      timeoutMs: Math.max(0, Math.min(READ_TIMEOUT_MS, remainingMs)),
      signal: undefined,
    });
    if (result.type !== 'replied') return neverthrow.err('unreachable');
    if (result.status !== 200) return neverthrow.err(result.status === 404 ? 'unknown-service' : 'not-ready');
    return neverthrow.fromThrowable((text: string): unknown => JSON.parse(text), (): AddressFailure => 'unreadable')(result.body.toString('utf8'))
      .andThen((value) => (isAddressResponse(value) ? neverthrow.ok(AddressReader.buildAddressSet(value, source)) : neverthrow.err('unreadable')));
  }

  private static buildAddressSet(response: AddressResponse, source: vmAddress.VmAddress): vmAddress.AddressSet {
    // An operation prefix is `<vm>.<incarnation>.<epoch>`. Names of VMs contain no dots, so the first part is the home VM.
    const homeVm = response.operationPrefix?.split('.')[0] ?? source.vm;
    return {
      addresses: response.addresses.map(({ vm, host, port }) => ({ vm, host, port })),
      source: { ...source, vm: homeVm },
      operationPrefix: response.operationPrefix,
      validForMs: response.validForMs,
    };
  }
}
