import type * as net from 'node:net';
import * as front from '@tamarackferry/front';
import * as vitest from 'vitest';

const HEAD_BYTES = 1_500_000;
const LONG_HEAD = 15_000;

function createSocket(bytesRead = 0): net.Socket {
  return { bytesRead } as net.Socket;
}

vitest.describe('ConnectionTable', () => {
  let tested: front.callers.ConnectionTable;

  vitest.beforeEach(() => {
    tested = new front.callers.ConnectionTable({ connections: 2, headBytes: HEAD_BYTES });
  });

  vitest.it('gives up connections without any complete head first, then the one that is idle longest, but none with a request, nor the newest', () => {
    const [busy, idle, laterIdle, fresh, newest] = [createSocket(), createSocket(), createSocket(), createSocket(), createSocket()];
    [busy, idle, laterIdle, fresh, newest].forEach((socket) => tested.add(socket));
    [busy, idle, laterIdle].forEach((socket) => tested.beginRequest(socket));
    tested.endRequest(idle);
    tested.endRequest(laterIdle);
    vitest.expect(tested.isFull()).toBe(true);
    [fresh, idle, laterIdle].forEach((expected) => {
      vitest.expect(tested.findLeastUseful(newest)).toBe(expected);
      tested.remove(expected);
    });
    vitest.expect(tested.findLeastUseful(newest)).toBeUndefined();
    vitest.expect(tested.isFull()).toBe(false);
  });

  vitest.it('closes the longest unfinished heads until the others are within the limit', () => {
    const short = createSocket(1_000);
    const long = Array.from({ length: 20 }, () => createSocket(LONG_HEAD));
    tested.add(short);
    long.forEach((socket) => tested.add(socket));
    const excess = tested.listExcessHeads();
    vitest.expect(excess).not.toContain(short);
    vitest.expect(excess).toHaveLength(8);
    excess.forEach((socket) => tested.remove(socket));
    vitest.expect(tested.listExcessHeads()).toEqual([]);
  });

  // Guards against unfinished heads that hide behind a complete request, also if they arrive together with it, and against closing a
  // connection whose request may be at an instance.
  vitest.it('counts an unfinished head that arrived together with a complete request, and closes its connection only when that is answered', () => {
    const sockets = Array.from({ length: 20 }, () => createSocket(200 + LONG_HEAD));
    sockets.forEach((socket) => {
      const connection = tested.add(socket);
      tested.beginRequest(socket);
      connection.recordParsed({ bodyBytes: 0, totalBytes: 200 }, socket.bytesRead);
      vitest.expect(front.callers.ConnectionTable.estimateHeadCost(connection, socket.bytesRead)).toBe(120_000);
    });
    vitest.expect(tested.listExcessHeads()).toEqual([]);
    vitest.expect(tested.listHeldBack()).toEqual([]);
    sockets.forEach((socket) => tested.endRequest(socket));
    vitest.expect(tested.listExcessHeads()).toHaveLength(8);
  });

  // Guards against heads that grow without end behind requests in progress, whose connections must not be closed.
  vitest.it('holds back all connections with requests in progress while the heads behind them exceed the limit', () => {
    const sockets = Array.from({ length: 20 }, () => ({ bytesRead: 200 }));
    sockets.forEach((socket) => {
      const connection = tested.add(socket as net.Socket);
      tested.beginRequest(socket as net.Socket);
      connection.recordParsed({ bodyBytes: 0, totalBytes: 200 }, 200);
    });
    sockets.slice(0, 12).forEach((socket) => Object.assign(socket, { bytesRead: 200 + LONG_HEAD }));
    vitest.expect(tested.listHeldBack()).toEqual([]);
    sockets.forEach((socket) => Object.assign(socket, { bytesRead: 200 + LONG_HEAD }));
    vitest.expect(tested.listHeldBack()).toHaveLength(20);
    vitest.expect(tested.listExcessHeads()).toEqual([]);
  });

  // Guards against connections that are closed, or requests that are refused, for bytes that the parser does not report, such as chunk
  // extensions: what follows a request was read with its end, so that they do not add up.
  vitest.it('takes unknown bytes of earlier requests for no unfinished head', () => {
    const socket = { bytesRead: 0 };
    const connection = tested.add(socket as net.Socket);
    Array.from({ length: 100 }).forEach(() => {
      socket.bytesRead += 1_500;
      tested.beginRequest(socket as net.Socket);
      connection.recordParsed({ bodyBytes: 600, totalBytes: 800 }, socket.bytesRead);
      tested.endRequest(socket as net.Socket);
    });
    vitest.expect(connection.estimateNextHeadBytes(socket.bytesRead)).toBeLessThanOrEqual(900);
  });

  // Guards against trailers that do not end: the parser holds them, and the body counts as being received.
  vitest.it('counts unfinished trailers of a request that is being received', () => {
    const sockets = Array.from({ length: 20 }, () => createSocket(200 + LONG_HEAD));
    sockets.forEach((socket) => {
      const connection = tested.add(socket);
      tested.beginRequest(socket);
      connection.receiving.add({ estimateWireLength: () => ({ bodyBytes: 0, totalBytes: 200 }) } as front.callers.FrontExchange);
    });
    vitest.expect(tested.listExcessHeads().length).toBeGreaterThan(0);
  });

  // Guards against connections of ordinary callers that are closed because an estimate is slightly wrong for each of many requests.
  vitest.it('takes no small difference for an unfinished head, however many requests a connection had', () => {
    const sockets = Array.from({ length: 200 }, () => createSocket(330 * 1_000));
    sockets.forEach((socket) => {
      const connection = tested.add(socket);
      Array.from({ length: 1_000 }).forEach((_, index) => connection.recordParsed({ bodyBytes: 0, totalBytes: 300 }, 330 * (index + 1)));
    });
    vitest.expect(tested.listExcessHeads()).toEqual([]);
  });
});
