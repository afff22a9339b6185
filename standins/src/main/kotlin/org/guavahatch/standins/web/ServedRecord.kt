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
 * Execution count and answer hash of one request.
 *
 * @property name name of the request, chosen by the caller
 * @property executions number of executions started
 * @property answerHash SHA-256 of the complete answer in hexadecimal; empty until there is one
 */
@Serializable
internal data class ServedRecord(val name: String, val executions: Int, val answerHash: String)

/**
 * Execution counts and answer hashes by request name.
 *
 * @property file file to which each change is appended before the call returns, so that the records survive a killed
 * process; null keeps them in memory only
 */
internal class ServedRecords(private val file: Path?) {
    private val records = ConcurrentHashMap<String, ServedRecord>()

    init {
        if (file != null && file.exists()) Files.readAllLines(file).forEach(::restore)
    }

    /** All records, ordered by name. */
    val all: List<ServedRecord> get() = records.values.sortedBy { it.name }

    /** Records that an execution of [name] starts. */
    fun recordExecution(name: String) {
        append(records.merge(name, ServedRecord(name, 1, "")) { old, _ -> old.copy(executions = old.executions + 1) })
    }

    /** Records the hash of the complete answer to [name]; does nothing if no execution was recorded. */
    fun recordAnswer(name: String, content: String) {
        val hash = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content.toByteArray()))
        append(records.computeIfPresent(name) { _, old -> old.copy(answerHash = hash) })
    }

    private fun restore(line: String) {
        val record = standInJson.decodeFromString<ServedRecord>(line)
        records[record.name] = record
    }

    @Synchronized
    private fun append(record: ServedRecord?) {
        if (file == null || record == null) return
        val line = standInJson.encodeToString(record) + "\n"
        Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }
}
