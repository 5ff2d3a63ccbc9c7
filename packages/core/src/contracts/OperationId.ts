const ID_PATTERN = /^([a-z0-9-]+)\.([A-Za-z0-9_-]+)\.(0|[1-9][0-9]{0,8})\.([A-Za-z0-9_-]{1,64})$/;

/**
 * Id of an operation. It consists of the home VM, its incarnation, the epoch in which the prefix was issued and a nonce of the caller.
 * Only this incarnation of the home VM may run the operation.
 */
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
   * Parses an id; undefined if the text is not a valid id. No VM runs an operation without a valid id.
   * @param text - Id as the caller sent it.
   */
  static parse(text: string): OperationId | undefined {
    const match = ID_PATTERN.exec(text);
    if (match === null) return undefined;
    return new OperationId(match[1]!, match[2]!, Number(match[3]), match[4]!);
  }

  /**
   * Formats the first three components of an id. The caller appends a dot and its nonce.
   * @param vm - Name of the home VM.
   * @param incarnation - Incarnation of the home VM.
   * @param epoch - Epoch in which the prefix is issued.
   */
  static formatPrefix(vm: string, incarnation: string, epoch: number): string {
    return `${vm}.${incarnation}.${epoch}`;
  }
}
