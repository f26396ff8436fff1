/** Classifies the errors of requests to a worker. */
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'

/** Another incarnation of the worker answered, so nothing of the previous one runs any more. */
export function isOtherIncarnation (error: unknown): boolean {
  return isErrorOfKind(error, ErrorKind.Conflict)
}

/** The request was not sent. After any other error the worker may have executed it, or may still do so. */
export function isUnsent (error: unknown): boolean {
  return isErrorOfKind(error, ErrorKind.PeerUnreachable)
}
