/** The keys in the platform's store by which operators request the evacuation of a failure domain. */

/** Key prefix of the requests; the rest of the key is the name of the failure domain. */
export const evacuationPrefix = 'op/evacuate/'

/** Returns the failure domain that a request's key names; undefined if it names none. */
export function tryDecodeEvacuationKey (key: string): string | undefined {
  const domain = key.slice(evacuationPrefix.length)
  return key.startsWith(evacuationPrefix) && domain !== '' ? domain : undefined
}
