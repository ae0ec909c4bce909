"""What all decisions of one host share."""

from dataclasses import dataclass, field

from poplarrun.config import Configuration
from poplarrun.contracts import ClientAccount
from poplarrun.endpoints import EndpointTable
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.metrics import Metrics
from poplarrun.router._explanations import Explanations
from poplarrun.router._messages import Bill, Explanation


@dataclass
class RouterContext:
    """Configuration, endpoints, metrics and bills of one host.

    Attributes
    ----------
    configuration : Configuration
        The configuration in force at this host.
    bills : list of Bill
        Bills that are not handed on yet.
    """

    endpoints: EndpointTable
    metrics: Metrics
    configuration: Configuration = field(default_factory=Configuration)
    bills: list[Bill] = field(default_factory=list)
    explanations: Explanations = field(default_factory=Explanations)

    def refuse(
        self,
        kind: ErrorKind,
        message: str,
        param: str | None = None,
        retry_after_s: float | None = None,
    ) -> Refusal:
        """Make a refusal and count it."""
        self.metrics.count_refusal(kind)
        return Refusal(kind, message, param, retry_after_s)

    def find_account(self, api_key: str) -> ClientAccount | Refusal:
        """Return the client account that a key names."""
        account = self.configuration.document.account_for_key(api_key)
        if account is None:
            return self.refuse(ErrorKind.UNAUTHENTICATED, "the API key is not known")
        return account

    def open_explanation(
        self, request_id: str, account: ClientAccount, subject: str
    ) -> Explanation:
        """Begin the explanation of a request under the configuration in force."""
        offset = self.configuration.offset
        return self.explanations.open(request_id, account.name, subject, offset)

    def add_bill(self, bill: Bill, explanation: Explanation) -> Bill:
        """Keep a bill until it is handed on."""
        explanation.bill = bill
        self.bills.append(bill)
        return bill
