package gentiandale.cli.command

import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import gentiandale.cli.ExitCode
import gentiandale.cli.Table
import gentiandale.cli.client.Reply
import gentiandale.cli.client.Submission
import gentiandale.cli.client.SubmissionResponse
import gentiandale.cli.document.RecordDocument
import gentiandale.cli.document.locateInFile
import gentiandale.cli.document.readDocuments
import gentiandale.core.OperationKey
import java.util.UUID

/** Submits the records of a file as one atomic change. */
internal class ApplyCommand : VmCommand(
    "apply",
    "Submits the records in a file, all of them or none. Each document has kind, name, schema, version and spec; " +
        "version is the one that the change is based on (0 creates). After exit code 4, retry with the printed " +
        "--key: a submission that was accepted is not applied twice.",
) {
    private val file by option("-f", "--file", help = "YAML file; documents are separated by ---.").path().required()
    private val key by option("--key", help = "Operation key of an earlier attempt to retry.")
    private val dryRun by option("--dry-run", help = "Validates the submission without applying it.").flag()

    override fun run() {
        val documents = readInput(file, ::readDocuments)
        val operationKey = OperationKey(key ?: "op-${UUID.randomUUID()}")
        echo("Operation key: $operationKey", err = true)
        val submission = Submission(operationKey, documents.map { it.toSubmittedRecord() })
        val reply = callVm {
            it.post("/v1/records?dry_run=$dryRun", Submission.serializer(), submission, SubmissionResponse.serializer())
        }
        when (reply) {
            is Reply.Ok -> printAccepted(reply.value)
            is Reply.Refused -> exitRefused(reply.problem.copy(findings = locateFindings(reply, documents)))
            is Reply.NotReachable -> exit(
                ExitCode.NOT_REACHABLE,
                "Entry VM not reachable, nothing was submitted: ${reply.detail}",
            )
            is Reply.OutcomeUnknown -> exit(
                ExitCode.OUTCOME_UNKNOWN,
                "Unknown whether the submission was accepted: ${reply.detail}\n" +
                    "Retry with the same key: gentianctl apply -f $file --key ${operationKey.value}",
            )
        }
    }

    private fun locateFindings(reply: Reply.Refused, documents: List<RecordDocument>) =
        reply.problem.findings.map { locateInFile(it, file.toString(), documents) }

    private fun printAccepted(value: SubmissionResponse) {
        val rows = value.records.map { listOf(it.kind, it.name, it.version.toString(), value.revision.toString()) }
        show(value, SubmissionResponse.serializer(), Table(listOf("KIND", "NAME", "VERSION", "REVISION"), rows))
    }
}
