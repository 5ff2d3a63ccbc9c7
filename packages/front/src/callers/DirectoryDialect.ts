import type * as gateway from '@tamarackferry/gateway';

/** Wire format of the directory: of the requests by which callers look up the VMs to connect to, and of the responses. */
export abstract class DirectoryDialect {
  /**
   * Parses the place of the caller. Returns an empty string if the request names no place, and undefined if it is not a
   * directory request.
   * @param url - Request target: path and query.
   */
  abstract parsePlace(url: string): string | undefined;

  /**
   * Builds the body of a response.
   * @param response - Hosts of the VMs and the time for which callers may cache them.
   * @param port - Port on which all VMs serve callers.
   */
  abstract buildBody(response: gateway.vms.DirectoryAnswer, port: number): string;
}
