package org.guavahatch.standins.web

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.ConcurrentHashMap

/**
 * What a stand-in did for one caller's request.
 *
 * @property name the caller's name for the request
 * @property executions how often its work was begun
 * @property answerHash SHA-256 of the whole answer's content, empty while there is none
 */
@Serializable
internal data class ServedRecord(val name: String, val executions: Int, val answerHash: String)

/** Counts executions and keeps answers' hashes by the callers' names of requests. */
internal class ServedRecords {
    private val records = ConcurrentHashMap<String, ServedRecord>()

    val all: List<ServedRecord> get() = records.values.sortedBy { it.name }

    operator fun get(name: String): ServedRecord? = records[name]

    fun begin(name: String) {
        records.merge(name, ServedRecord(name, 1, "")) { old, _ -> old.copy(executions = old.executions + 1) }
    }

    fun answered(name: String, content: String) {
        val hash = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content.toByteArray()))
        records.computeIfPresent(name) { _, old -> old.copy(answerHash = hash) }
    }
}
