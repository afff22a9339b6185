package org.guavahatch.model.forwarding

import org.guavahatch.model.configuration.ObjectDifference

/** Compares two configurations of gateways object by object. */
public object ForwardingDifference {
    /** Returns the objects that differ between [older] and [newer], grouped by kind and sorted by name. */
    public fun between(older: ForwardingConfiguration, newer: ForwardingConfiguration): List<ObjectDifference> =
        compare("routes", older.routes.associateBy { it.name }, newer.routes.associateBy { it.name }) { "$it" } +
            compare("accounts", older.accounts, newer.accounts, ::withoutKeys) +
            keyDifferences(older, newer) +
            compare("limits", mapOf("callers" to older.limits), mapOf("callers" to newer.limits)) { "$it" } +
            compare("poolMemoryTokens", older.poolMemoryTokens, newer.poolMemoryTokens) { "$it" }

    /** Keys are secret, so only their number is told. */
    private fun withoutKeys(account: ForwardingAccount): String =
        "rank=${account.rank}, quota=${account.quota}, ${account.keys.size} keys"

    private fun keyDifferences(older: ForwardingConfiguration, newer: ForwardingConfiguration) =
        newer.accounts.values.sortedBy { it.name }.mapNotNull { account ->
            val before = older.accounts[account.name]?.keys ?: return@mapNotNull null
            if (before == account.keys) return@mapNotNull null
            val removed = before.count { it !in account.keys }
            val added = account.keys.count { it !in before }
            ObjectDifference("accountKeys", account.name, "$removed removed", "$added added")
        }

    private fun <T> compare(
        kind: String,
        before: Map<String, T>,
        after: Map<String, T>,
        textOf: (T) -> String,
    ): List<ObjectDifference> = (before.keys + after.keys).sorted().mapNotNull { name ->
        val older = before[name]?.let(textOf)
        val newer = after[name]?.let(textOf)
        if (older == newer) null else ObjectDifference(kind, name, older, newer)
    }
}
