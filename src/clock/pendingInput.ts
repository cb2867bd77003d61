/**
 * Resolves after the event loop has handled the input that has already arrived. A timeout that waits
 * for it does not take the delay of a busy process for the silence of a peer.
 */
export function pendingInputHandled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
