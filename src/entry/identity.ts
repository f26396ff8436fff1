/** Authenticates organisations, operators and peers by the tokens in the settings. Tokens are never logged. */
import { isSameSecret } from '../common/rpcServer.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { EntrySettings } from '../settings/settings.js'

/** The role that a token grants. */
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

/** Returns the identity of a token's holder. Throws an `unauthorized` error for an unknown token. */
export type Authenticate = (token: string) => Identity

/** Creates a function that authenticates the tokens in the settings. */
export function createAuthenticator (settings: Pick<EntrySettings, 'peerToken' | 'operators' | 'organisations'>): Authenticate {
  const holders = [
    { token: settings.peerToken, identity: { role: Role.Peer, name: 'peer' } },
    ...settings.operators.map(operator => ({ token: operator.token, identity: { role: Role.Operator, name: operator.name } })),
    ...settings.organisations.map(caller => ({ token: caller.token, identity: { role: Role.Organisation, name: caller.organisation } }))
  ]
  return token => {
    let found: Identity | undefined
    // All tokens are compared, so that the response time does not reveal which one nearly matched.
    for (const holder of holders) if (isSameSecret(holder.token, token)) found = holder.identity
    if (found === undefined) throw createError(ErrorKind.Unauthorized, 'the token is missing or unknown')
    return found
  }
}
