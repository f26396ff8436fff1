/** What the failure of an order to a worker proves. */
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'

/** Another incarnation answers, so everything of the one before is gone. */
export function isTerminalError (error: unknown): boolean {
  return isErrorOfKind(error, ErrorKind.Conflict)
}

/** The order was not sent. Anything else may be carried out, also later. */
export function isUnsent (error: unknown): boolean {
  return isErrorOfKind(error, ErrorKind.PeerUnreachable)
}
