package org.guavahatch.daemon.settings

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class SettingsFileTest {
    private val valid = """
        // An entry instance.
        {
          "name": "entry-1", "deployment": "frost-fleece", "zone": "cairo-a", "callerPort": 8080, "adminPort": 8081,
          "platformUrl": "http://127.0.0.1:7000", "sharedKeys": ["0123456789abcdef"]
        }
    """.trimIndent()

    private class Case(val from: String, val to: String, val path: String, val value: String, val allowed: String)

    private val cases = listOf(
        Case("8080", "0", "$.callerPort", "0", "1 to 65535"),
        Case("8081", "70000", "$.adminPort", "70000", "1 to 65535"),
        Case("http://127.0.0.1:7000", "nowhere", "$.platformUrl", "nowhere", "http://"),
        Case(":7000", ":7000/", "$.platformUrl", "http://127.0.0.1:7000/", "not end with '/'"),
        Case("0123456789abcdef", "short", "$.sharedKeys[0]", "5 characters", "at least 16"),
        Case("\"zone\"", "\"heartbeatMilliseconds\": 500, \"zone\"", "$.silenceMilliseconds", "1000", "1500 to 60000"),
        Case("\"zone\"", "\"zoon\"", "$.zoon", "\"cairo-a\"", "Known fields are: name, deployment, zone"),
    )

    private fun read(
        text: String,
    ): Pair<Path, arrow.core.Either<org.guavahatch.model.check.DocumentError, EntrySettings>> {
        val file = Files.createTempFile("settings", ".jsonc")
        Files.writeString(file, text)
        return file to SettingsFile.read(file, EntrySettings.serializer()).also { Files.delete(file) }
    }

    @Test
    fun `valid settings are read with their defaults`() {
        val settings = assertNotNull(read(valid).second.getOrNull(), read(valid).second.leftOrNull().toString())
        assertEquals(1000, settings.silenceMilliseconds)
    }

    @Test
    fun `an error contains the file, path, value and allowed values`() {
        cases.forEach { case ->
            val (file, result) = read(valid.replaceFirst(case.from, case.to))
            val error = assertNotNull(result.leftOrNull(), case.path)
            assertEquals(file.toString(), error.source)
            val problem = assertNotNull(error.problems.find { it.path == case.path }, "${case.path}: $error")
            assertEquals(case.value, problem.value, case.path)
            assertNotNull(problem.message.takeIf { case.allowed in it }, "${case.path}: ${problem.message}")
        }
    }

    @Test
    fun `a missing file is reported as an error`() {
        val error = SettingsFile.read(Path.of("nowhere.jsonc"), EntrySettings.serializer()).leftOrNull()
        assertEquals("nowhere.jsonc", error?.source)
    }
}
