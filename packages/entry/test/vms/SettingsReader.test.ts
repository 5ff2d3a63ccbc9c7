import * as entry from '@tamarackferry/entry';
import * as vitest from 'vitest';

import * as testDeployment from './TestDeployment.js';

const VALID = testDeployment.formatSettings('vm-1', 'http://127.0.0.1:1');

function describeParseFailure(text: string): string {
  return entry.vms.SettingsReader.parse(text).match(() => 'accepted', (failure) => entry.vms.SettingsReader.describeFailure(failure));
}

vitest.describe('SettingsReader', () => {
  vitest.it('applies the default to each limit that is not specified (guards against an undefined limit at run time)', () => {
    const settings = entry.vms.SettingsReader.parse(VALID)._unsafeUnwrap();
    vitest.expect(settings.limits).toEqual(entry.vms.DEFAULT_LIMITS);
    vitest.expect(settings.addressValidityMs).toBe(300);
  });

  vitest.it.each([
    [VALID.replace('"vm-1"', '"VM 1"'), 'settings line 1: field name: found "VM 1", expected lower-case letters, digits and hyphens, at most 63'],
    [VALID.replace('port = 0', 'port = 70000'), 'settings line 5: field port: found 70000, expected a whole number from 0 to 65535'],
    [VALID.replace('host = "127.0.0.1"', 'host = "entry.example"'), 'settings line 4: field host: found "entry.example", expected an IP address'],
    [VALID.replace('address_validity_ms = 300', 'address_validity_ms = "soon"'), 'settings line 10: field limits.address_validity_ms: found "soon", expected a whole number from 100 to 600000'],
    [VALID.replace('host = "127.0.0.1"', 'host = "0.0.0.0"'), 'settings line 1: field advertised_host: found nothing, expected an IP address, since host is an unspecified address that callers cannot connect to'],
    [VALID.replace('place =', 'plaice ='), 'settings line 1: field place: found nothing, expected a text'],
    [VALID.replace('[limits]', 'colour = "red"\n[limits]'), 'settings line 9: field colour: found "red", expected a known field'],
    [`${VALID}[[seed_peers]]\nname = "vm-2"\nhost = "10.0.0.2"\nport = 1\npeer_port = 2\nplace = "a"\n[[seed_peers]]\nname = "vm-3"\nhost = "10.0.0.3"\nport = 1\npeer_port = 0\nplace = "a"\n`, 'settings line 21: field seed_peers.1.peer_port: found 0, expected a whole number from 1 to 65535'],
  ])('reports the line, the field, the found and the expected value of an invalid setting (guards against a setting error that is hard to locate), case %#', (text, expected) => {
    vitest.expect(describeParseFailure(text)).toBe(expected);
  });

  vitest.it('reports the line of a syntax error (guards against an unhandled exception of the TOML parser)', () => {
    vitest.expect(describeParseFailure(VALID.replace('place = "a"', 'place = "a'))).toContain('settings line 3: ');
  });
});
