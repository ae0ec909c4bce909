"""The state that all routing decisions of a host share."""

import random
from dataclasses import dataclass, field

from poplarrun.admission import ServiceLimit
from poplarrun.billing import Bill
from poplarrun.config import Configuration
from poplarrun.contracts import ClientAccount, VersionId
from poplarrun.endpoints import EndpointTable
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.limits import AccountLimits
from poplarrun.metrics import Metrics
from poplarrun.orders import DemandCounter
from poplarrun.retries import BudgetKey, FailedAttempt, RetryBudgets, RetryDecision, decide_retry
from poplarrun.router._explanations import Explanations
from poplarrun.router._messages import Explanation
from poplarrun.versions import VersionManager


@dataclass
class RouterContext:
    """Configuration, endpoints, metrics and bills of one host.

    Attributes
    ----------
    configuration : Configuration
        The configuration in force at this host.
    versions : VersionManager
        Estimates, choice and roll-outs of versions.
    bills : list of Bill
        Final bills that are not passed to the billing yet; the host stores them before it
        answers the message that created them.
    opened_bills : list of Bill
        Provisional bills of requests that started, not passed to the billing yet.
    closed_bill_ids : list of str
        Ids of requests that ended without a bill, not passed to the billing yet.
    limited_accounts : set of str
        Accounts whose limits were used since the host last checked whether to borrow more.
    limits : AccountLimits, optional
        Limits of the client accounts; if None, there are no limits.
    retry_budgets : RetryBudgets
        Retry budgets of chats and operations.
    random_source : random.Random
        Random source of retry delays.
    service_limits : dict of str to ServiceLimit
        Concurrency limits of plain services, from this host's calls.
    demand : DemandCounter
        Demand of this host's requests for versions, also for those that no engine has loaded.
    expected_load_s : dict of VersionId to float
        Expected seconds until a version that no engine has loaded is available.
    """

    endpoints: EndpointTable
    metrics: Metrics
    versions: VersionManager
    configuration: Configuration = field(default_factory=Configuration)
    bills: list[Bill] = field(default_factory=list)
    opened_bills: list[Bill] = field(default_factory=list)
    closed_bill_ids: list[str] = field(default_factory=list)
    limited_accounts: set[str] = field(default_factory=set)
    explanations: Explanations = field(default_factory=Explanations)
    limits: AccountLimits | None = None
    retry_budgets: RetryBudgets = field(default_factory=RetryBudgets)
    random_source: random.Random = field(default_factory=random.Random)
    service_limits: dict[str, ServiceLimit] = field(default_factory=dict)
    demand: DemandCounter = field(default_factory=DemandCounter)
    expected_load_s: dict[VersionId, float] = field(default_factory=dict)

    def may_use(self, account: str, version: VersionId) -> bool:
        """Return whether the current configuration allows a client account to use a version.

        The account as it was when its request arrived is outdated: operators may have removed
        the permission since then.
        """
        in_force = self.configuration.document.accounts.get(account)
        return in_force is not None and in_force.allows_version(version)

    def refuse(
        self,
        kind: ErrorKind,
        message: str,
        param: str | None = None,
        retry_after_s: float | None = None,
    ) -> Refusal:
        """Create a refusal and count it."""
        self.metrics.count_refusal(kind)
        return Refusal(kind, message, param, retry_after_s)

    def spend_left(self, account: ClientAccount) -> float | None:
        """Return the amount that an account may still spend at this host; None if unlimited."""
        return None if self.limits is None else self.limits.remaining_spend(account)

    def check_limits(
        self, account: ClientAccount, tokens: int, now: float, is_stream: bool = True
    ) -> Refusal | None:
        """Count a request against its account's limits, or refuse it."""
        if self.limits is None:
            return None
        self.limited_accounts.add(account.name)
        limited = self.limits.admit(account, tokens, now, is_stream)
        if limited is None:
            return None
        return self.refuse(limited.kind, limited.reason, retry_after_s=limited.retry_after_s)

    def service_limit(self, service: str) -> ServiceLimit:
        """Return the concurrency limit of a plain service."""
        return self.service_limits.setdefault(service, ServiceLimit())

    def decide_retry(self, failed: FailedAttempt, key: BudgetKey) -> RetryDecision:
        """Decide on a retry, which is spent from the budget of a key."""
        return decide_retry(failed, self.retry_budgets.budget(key), self.random_source)

    def find_account(self, api_key: str) -> ClientAccount | Refusal:
        """Return the client account that an API key belongs to."""
        account = self.configuration.document.account_for_key(api_key)
        if account is None:
            return self.refuse(ErrorKind.UNAUTHENTICATED, "the API key is not known")
        return account

    def open_explanation(
        self, request_id: str, account: ClientAccount, subject: str
    ) -> Explanation:
        """Create the explanation of a request under the current configuration."""
        offset = self.configuration.offset
        return self.explanations.open(request_id, account.name, subject, offset)

    def add_bill(self, bill: Bill, explanation: Explanation) -> Bill:
        """Add a final bill, to be passed to the billing."""
        explanation.bill = bill
        self.bills.append(bill)
        return bill
