package org.guavahatch.model.check

/**
 * Reports why a settings file or a configuration was rejected.
 *
 * @property source file name or other origin of the document
 * @property problems all problems found in the document, at least one
 */
public data class DocumentError(public val source: String, public val problems: List<Problem>) {
    override fun toString(): String = problems.joinToString("\n") { "$source: $it" }
}
