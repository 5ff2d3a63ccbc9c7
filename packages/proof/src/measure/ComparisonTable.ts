import type * as policyComparison from './PolicyComparison.js';

const WIDTHS = [10, 15, 19, 9, 9, 9, 8, 7, 8] as const;

function formatSeconds(valueMs: number | undefined): string {
  return valueMs === undefined ? '-' : (valueMs / 1_000).toFixed(1);
}

/** Table of a comparison for people. */
export class ComparisonTable {
  /** Formats the heading. */
  static formatHeading(): string {
    return ComparisonTable.formatCells([
      'deployment', 'fault', 'policy', 'median s', 'p99 s', 'false/ih', 'on time', 'extra', 'cost', 'targets not met; broken promises',
    ]);
  }

  /**
   * Formats one line.
   * @param row - Line of the comparison.
   */
  static formatRow(row: policyComparison.ComparisonRow): string {
    const missed = Object.entries(row.targets ?? {}).filter(([, result]) => result === 'not-met').map(([target]) => target).join(' ');
    const broken = Object.entries(row.violations).map(([promise, count]) => `${promise}:${count}`).join(' ');
    const met = row.targets === undefined ? '' : 'all met';
    return ComparisonTable.formatCells([
      row.deployment,
      row.fault,
      row.policy,
      formatSeconds(row.exposureMedianMs),
      formatSeconds(row.exposureP99Ms),
      row.falseEjectionsPerInstanceHour.toFixed(2),
      row.onTimeShare.toFixed(4),
      row.extraLoad.toFixed(3),
      row.cost.toFixed(1),
      `${missed === '' ? met : missed}${broken === '' ? '' : `; ${broken}`}`,
    ]);
  }

  private static formatCells(cells: readonly string[]): string {
    return cells.map((cell, index) => {
      const width = WIDTHS[index] ?? 0;
      return index < 3 ? cell.padEnd(width) : cell.padStart(width);
    }).join(' ');
  }
}
