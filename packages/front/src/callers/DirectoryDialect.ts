import type * as gateway from '@tamarackferry/gateway';

/** How callers ask which VMs to connect to. */
export abstract class DirectoryDialect {
  /**
   * Reads the place of the caller, or undefined if the request is no question to the directory.
   * @param url - Target of the request.
   */
  abstract parsePlace(url: string): string | undefined;

  /**
   * Builds the body of an answer.
   * @param answer - Hosts and validity.
   * @param port - Port on which all VMs serve callers.
   */
  abstract buildBody(answer: gateway.vms.DirectoryAnswer, port: number): string;
}
