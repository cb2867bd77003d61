import { isIPv4 } from 'node:net';

const MAX_PORT = 65_535;

/** Whether a text is an IPv4 address and a port, as `IP:port`. */
export function isSocketAddress(text: string): boolean {
  const [, host = '', port = ''] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? [];
  return isIPv4(host) && Number(port) > 0 && Number(port) <= MAX_PORT;
}
