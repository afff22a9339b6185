package org.guavahatch.daemon.entry

import org.guavahatch.coordination.publication.InForce
import org.guavahatch.model.configuration.ClientAccount
import java.util.concurrent.ConcurrentHashMap

/**
 * Finds the account of a client key. Keys are stored as salted hashes, so a key is compared with every account once and
 * remembered in memory until the configuration changes.
 */
internal class AccountKeys {
    private class Known(val version: Long) {
        val accounts = ConcurrentHashMap<String, ClientAccount>()
    }

    @Volatile
    private var known = Known(0)

    fun find(key: String, inForce: InForce): ClientAccount? {
        val cache = cacheFor(inForce.version.number)
        return cache.accounts[key]
            ?: inForce.set.clientAccounts.find { account -> account.keys.any { it.matches(key) } }
                ?.also { if (cache.accounts.size < MAXIMUM_REMEMBERED) cache.accounts[key] = it }
    }

    private fun cacheFor(version: Long): Known {
        val present = known
        if (present.version == version) return present
        return Known(version).also { known = it }
    }

    private companion object {
        const val MAXIMUM_REMEMBERED = 10_000
    }
}
