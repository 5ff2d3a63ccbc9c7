const ID_PATTERN = /^([a-z0-9-]+)\.([A-Za-z0-9_-]+)\.(0|[1-9][0-9]{0,8})\.([A-Za-z0-9_-]{1,64})$/;

/** Id of an operation: the incarnation of the VM that may run it, the epoch that issued it and a nonce of the caller. */
export class OperationId {
  private constructor(
    /** Name of the home VM. */
    readonly vm: string,
    /** Incarnation of the home VM. */
    readonly incarnation: string,
    readonly epoch: number,
    readonly nonce: string,
  ) {}

  /**
   * Reads an id; undefined if the text is no id, which no VM runs.
   * @param text - Id as the caller sent it.
   */
  static parse(text: string): OperationId | undefined {
    const match = ID_PATTERN.exec(text);
    if (match === null) return undefined;
    return new OperationId(match[1]!, match[2]!, Number(match[3]), match[4]!);
  }

  /**
   * Writes the first three components. The caller appends a dot and its nonce.
   * @param vm - Name of the home VM.
   * @param incarnation - Incarnation of the home VM.
   * @param epoch - Epoch that issues the prefix.
   */
  static formatPrefix(vm: string, incarnation: string, epoch: number): string {
    return `${vm}.${incarnation}.${epoch}`;
  }
}
