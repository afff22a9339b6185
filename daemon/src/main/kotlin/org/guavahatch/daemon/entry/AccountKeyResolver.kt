package org.guavahatch.daemon.entry

import org.guavahatch.coordination.publication.ActiveConfiguration
import org.guavahatch.model.configuration.ClientAccount
import java.util.concurrent.ConcurrentHashMap

/**
 * Resolves a client key to its account. The configuration stores keys as salted hashes, so the first lookup of a key
 * compares it with every account. Successful lookups are cached until the configuration changes.
 */
internal class AccountKeyResolver {
    private class VersionCache(val version: Long) {
        val accounts = ConcurrentHashMap<String, ClientAccount>()
    }

    @Volatile
    private var cache = VersionCache(0)

    /** Returns the account of [key], or null if the configuration has no such key. */
    fun resolve(key: String, configuration: ActiveConfiguration): ClientAccount? {
        val current = cacheFor(configuration.version.number)
        return current.accounts[key]
            ?: configuration.set.clientAccounts.find { account -> account.keys.any { it.matches(key) } }
                ?.also { if (current.accounts.size < MAXIMUM_CACHED_KEYS) current.accounts[key] = it }
    }

    private fun cacheFor(version: Long): VersionCache {
        val current = cache
        if (current.version == version) return current
        return VersionCache(version).also { cache = it }
    }

    private companion object {
        const val MAXIMUM_CACHED_KEYS = 10_000
    }
}
