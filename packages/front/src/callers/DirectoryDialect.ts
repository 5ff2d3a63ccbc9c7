import type * as gateway from '@tamarackferry/gateway';

/** Format of directory requests, by which callers look up the VMs to connect to, and of the responses. */
export abstract class DirectoryDialect {
  /**
   * Parses the place of the caller. Returns undefined if the URL is not a directory request.
   * @param url - Request target: path and query.
   */
  abstract parsePlace(url: string): string | undefined;

  /**
   * Builds the body of a response.
   * @param answer - Hosts of the VMs and the time for which callers may cache them.
   * @param port - Port on which all VMs serve callers.
   */
  abstract buildBody(answer: gateway.vms.DirectoryAnswer, port: number): string;
}
