import * as caller from '@tamarackferry/caller';
import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

const ADDRESS: caller.vms.VmAddress = {
  vm: 'vm-1', host: '127.0.0.1', port: 1,
};
const ADDRESS_SET = { addresses: [ADDRESS], source: ADDRESS, operationPrefix: undefined };

/** Address book that calls a handler before each look-up. */
class TestAddressBook extends caller.vms.AddressBook {
  lookUps = 0;

  onLookUp: () => void = () => undefined;

  override findAddressSet(): Promise<caller.vms.AddressSet | undefined> {
    this.lookUps += 1;
    this.onLookUp();
    return Promise.resolve(ADDRESS_SET as unknown as caller.vms.AddressSet);
  }
}

vitest.describe('IdempotentFlow', () => {
  vitest.it('reports unknown, not `not-run`, if it is cancelled during a later look-up after an attempt that may have run', async () => {
    const timers = new core.time.SystemTimerService();
    const abort = new AbortController();
    const addressBook = new TestAddressBook({
      timers, scheduler: new core.tasks.TaskScheduler(), random: new core.randomness.SeededRandomSource(1),
    } as unknown as ConstructorParameters<typeof caller.vms.AddressBook>[0]);
    addressBook.onLookUp = () => {
      if (addressBook.lookUps === 2) abort.abort();
    };
    const flow = new caller.callers.IdempotentFlow({
      request: {
        service: 'orders', method: 'GET', path: '/status', deadlineMs: 5_000, repeatability: 'idempotent', signal: abort.signal,
      },
      member: 'museum',
      memberKey: 'secret',
      addressBook,
      link: { send: () => Promise.resolve({ type: 'broken', cause: 'unreachable' }) } as unknown as caller.links.VmLink,
      timers,
    });
    const failure = (await flow.run())._unsafeUnwrapErr();
    vitest.expect(addressBook.lookUps).toBe(2);
    vitest.expect(failure).toEqual({ type: 'unknown', reason: 'cancelled' });
  });
});
