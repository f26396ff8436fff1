/** Tells organisations, operators and peers apart by the tokens of the settings. Tokens are never logged. */
import { isSameSecret } from '../common/rpcServer.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { EntrySettings } from '../settings/settings.js'

/** Who a token belongs to. */
export enum Role {
  Organisation = 'organisation',
  Operator = 'operator',
  Peer = 'peer'
}

/** The holder of a token. */
export interface Identity {
  readonly role: Role
  readonly name: string
}

/** Finds the holder of a token. Errors: `unauthorized`. */
export type Authenticate = (token: string) => Identity

/** Creates the check for the tokens of the settings. */
export function createAuthenticate (settings: Pick<EntrySettings, 'peerToken' | 'operators' | 'organisations'>): Authenticate {
  const holders = [
    { token: settings.peerToken, identity: { role: Role.Peer, name: 'peer' } },
    ...settings.operators.map(operator => ({ token: operator.token, identity: { role: Role.Operator, name: operator.name } })),
    ...settings.organisations.map(caller => ({ token: caller.token, identity: { role: Role.Organisation, name: caller.organisation } }))
  ]
  return token => {
    let found: Identity | undefined
    // Every token is compared, so that the time does not tell which one was close.
    for (const holder of holders) if (isSameSecret(holder.token, token)) found = holder.identity
    if (found === undefined) throw createError(ErrorKind.Unauthorized, 'the token is missing or not known here')
    return found
  }
}
