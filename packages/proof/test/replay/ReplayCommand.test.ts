import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as proof from '@tamarackferry/proof';
import * as vitest from 'vitest';

function replayText(text: string): { readonly code: number; readonly lines: readonly string[] } {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'proof-'));
  const file = path.join(directory, 'case.trace');
  fs.writeFileSync(file, text);
  const lines: string[] = [];
  const code = proof.replay.ReplayCommand.run({ files: [file], format: 'text', print: (line) => lines.push(line.replace(directory, '.')) });
  fs.rmSync(directory, { recursive: true });
  return { code, lines };
}

vitest.describe('ReplayCommand', () => {
  vitest.it('tells outcomes that are not met from wrong files by its exit code (guards against checks that pass on a typing error)', () => {
    const quiet = 'deployment small\nend 8s\n';
    vitest.expect(replayText(`${quiet}expect answered orders share=0.5`).code).toBe(0);
    const missed = replayText(`${quiet}expect answered orders share=101%`);
    vitest.expect(missed.code).toBe(1);
    vitest.expect(missed.lines[1]).toContain('NOT MET expect answered orders share=101%');
    vitest.expect(replayText(`${quiet}expect answered orders`)).toEqual({ code: 2, lines: ['./case.trace:3: field share= is missing'] });
  });
});
