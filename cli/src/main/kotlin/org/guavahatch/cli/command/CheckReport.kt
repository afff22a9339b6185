package org.guavahatch.cli.command

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.model.configuration.ObjectDifference
import org.guavahatch.model.finding.Finding
import org.guavahatch.model.finding.Severity

/**
 * Result of a check, as it is printed.
 *
 * @property differences differences from the version in force, or null if none was compared
 */
@Serializable
internal data class CheckReport(
    val file: String,
    val summary: String,
    val findings: List<ReportedFinding>,
    val differences: List<ReportedDifference>? = null,
) {
    /** Exit code of the process. */
    val exitCode: Int
        get() = when {
            findings.any { it.severity == ERROR } -> Command.EXIT_USAGE
            findings.isNotEmpty() -> Command.EXIT_REFUSED
            else -> Command.EXIT_OK
        }

    /** One line for each finding and difference, and a last one with the verdict. */
    fun text(): String {
        val verdict = when (exitCode) {
            Command.EXIT_USAGE -> "not valid"
            Command.EXIT_REFUSED -> "$summary: valid, ${findings.size} warnings"
            else -> "$summary: valid"
        }
        val compared = differences?.map { it.text }?.ifEmpty { listOf("no difference") }.orEmpty()
        return (findings.map { "$file: ${it.text()}" } + compared + "$file: $verdict").joinToString("\n")
    }

    /** The same as one JSON object. */
    fun json(): String = json.encodeToString(serializer(), this)

    companion object {
        private const val ERROR = "error"
        private val json = Json { prettyPrint = true }

        fun of(file: String, checked: CheckedConfiguration, differences: List<ObjectDifference>?): CheckReport =
            CheckReport(
                file,
                checked.summary,
                checked.findings.map(::reported),
                differences?.map { ReportedDifference(it.kind, it.name, it.before, it.after, "$it") },
            )

        private fun reported(finding: Finding) = ReportedFinding(
            if (finding.severity == Severity.ERROR) ERROR else "warning",
            finding::class.simpleName.orEmpty(),
            finding.path,
            finding.value,
            finding.message,
        )
    }
}

/** A finding in a [CheckReport]; [kind] is the name of its class. */
@Serializable
internal data class ReportedFinding(
    val severity: String,
    val kind: String,
    val path: String,
    val value: String,
    val message: String,
) {
    fun text(): String = "$severity: $path: $message (found: $value)"
}

/** A difference in a [CheckReport]; [text] is the line for people. */
@Serializable
internal data class ReportedDifference(
    val kind: String,
    val name: String,
    val before: String?,
    val after: String?,
    val text: String,
)
