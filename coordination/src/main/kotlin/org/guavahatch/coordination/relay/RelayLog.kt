package org.guavahatch.coordination.relay

/**
 * Latest row of each key of a table that has changed since the log began, deletions included.
 *
 * @param R type of a row
 * @property maximumRows number of rows kept; beyond it the log begins later
 */
public class RelayLog<R>(private val maximumRows: Int = MAXIMUM_ROWS) {
    private class Entry<R>(val version: Long, val row: R)

    private val entries = HashMap<String, Entry<R>>()

    /** Oldest version from which the log can tell all changes. */
    public var oldestVersion: Long = 0
        private set

    /** Version up to which the log has all changes. */
    public var version: Long = 0
        private set

    /** Begins the log anew, without changes, at [newVersion]. */
    public fun begin(newVersion: Long) {
        entries.clear()
        oldestVersion = newVersion
        version = newVersion
    }

    /**
     * Adds [rows], which are all changes up to [newVersion].
     *
     * @param key key of a row
     * @param versionOf version of a row, or null if unknown; only one after [version] and up to [newVersion] counts
     */
    public fun append(rows: List<R>, newVersion: Long, key: (R) -> String, versionOf: (R) -> Long?) {
        rows.forEach { row ->
            val changedAt = effectiveVersion(versionOf(row), version, newVersion)
            val known = entries[key(row)]
            if (known == null || known.version <= changedAt) entries[key(row)] = Entry(changedAt, row)
        }
        version = maxOf(version, newVersion)
        dropOldest()
    }

    private fun dropOldest() {
        val excess = entries.size - maximumRows
        if (excess <= 0) return
        entries.entries.sortedBy { it.value.version }.take(excess).forEach { (key, entry) ->
            entries.remove(key)
            oldestVersion = maxOf(oldestVersion, entry.version)
        }
    }

    /** Rows that have changed after version [after] in order of their versions, or null if the log cannot tell. */
    public fun changesAfter(after: Long): List<R>? {
        if (after < oldestVersion) return null
        return entries.values.filter { it.version > after }.sortedBy { it.version }.map { it.row }
    }

    public companion object {
        /** Twice the number of endpoints that deployments are designed for, and as many deletions. */
        public const val MAXIMUM_ROWS: Int = 4_096

        /**
         * Version of a row in a response that has all changes after [after] up to [responseVersion]. A row without a
         * [rowVersion] in this range counts as changed last, so that it is sent rather than left out.
         */
        public fun effectiveVersion(rowVersion: Long?, after: Long, responseVersion: Long): Long =
            rowVersion?.takeIf { it in after + 1..responseVersion } ?: responseVersion
    }
}
