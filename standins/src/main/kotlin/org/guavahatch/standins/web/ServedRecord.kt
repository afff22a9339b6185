package org.guavahatch.standins.web

import kotlinx.serialization.Serializable
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.ConcurrentHashMap
import kotlin.io.path.exists

/**
 * What a stand-in did for one caller's request.
 *
 * @property name the caller's name for the request
 * @property executions how often its work was begun
 * @property answerHash SHA-256 of the whole answer's content, empty while there is none
 */
@Serializable
internal data class ServedRecord(val name: String, val executions: Int, val answerHash: String)

/**
 * Counts executions and keeps answers' hashes by the callers' names of requests.
 *
 * @property file where each change is written before it counts, so that the records outlive a killed stand-in; null to
 * keep them in memory only
 */
internal class ServedRecords(private val file: Path?) {
    private val records = ConcurrentHashMap<String, ServedRecord>()

    init {
        if (file != null && file.exists()) Files.readAllLines(file).forEach(::load)
    }

    val all: List<ServedRecord> get() = records.values.sortedBy { it.name }

    /** Notes that the work of [name] begins. */
    fun begin(name: String) {
        store(records.merge(name, ServedRecord(name, 1, "")) { old, _ -> old.copy(executions = old.executions + 1) })
    }

    /** Notes the whole answer to [name]. */
    fun answered(name: String, content: String) {
        val hash = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content.toByteArray()))
        store(records.computeIfPresent(name) { _, old -> old.copy(answerHash = hash) })
    }

    private fun load(line: String) {
        val record = standInJson.decodeFromString<ServedRecord>(line)
        records[record.name] = record
    }

    @Synchronized
    private fun store(record: ServedRecord?) {
        if (file == null || record == null) return
        val line = standInJson.encodeToString(record) + "\n"
        Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }
}
