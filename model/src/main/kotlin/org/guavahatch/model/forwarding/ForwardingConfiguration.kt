package org.guavahatch.model.forwarding

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap

/**
 * One version of the configuration with which a gateway forwards requests.
 *
 * @property version version number; a gateway never replaces a version with a lower one
 * @property routes all routes
 * @property limits limits for requests from callers
 * @property accounts client accounts by name; if empty, callers need no keys
 * @property poolMemoryTokens memory of each engine of a pool in tokens, by pool; no limit for a pool that is absent
 */
public data class ForwardingConfiguration(
    public val version: Long,
    public val routes: ImmutableList<ForwardingRoute>,
    public val limits: CallerLimits,
    public val accounts: ImmutableMap<String, ForwardingAccount> = persistentMapOf(),
    public val poolMemoryTokens: ImmutableMap<String, Long> = persistentMapOf(),
) {
    private val routesByHost: Map<String, Map<String, ForwardingRoute>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, list) -> list.associateBy { it.prefix } }

    private val accountsByKey: ImmutableMap<String, ForwardingAccount> =
        accounts.values.flatMap { account -> account.keys.map { it to account } }.toMap().toImmutableMap()

    /** Whether callers must authenticate, except on routes that allow anonymous callers. */
    public val requiresKeys: Boolean get() = accounts.isNotEmpty()

    /** Returns the account that [key] belongs to, or null if the key is unknown. */
    public fun findAccount(key: String): ForwardingAccount? = accountsByKey[key]

    /**
     * Returns the route for [host] with the longest prefix that matches [path], or null. A query string in [path] is
     * ignored.
     */
    public fun findRoute(host: String, path: String): ForwardingRoute? {
        val routesByPrefix = routesByHost[host.lowercase()] ?: routesByHost[host.substringBefore(':').lowercase()]
        var end = path.substringBefore('?').lastIndexOf('/')
        while (routesByPrefix != null && end >= 0) {
            routesByPrefix[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
