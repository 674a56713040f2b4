"""Base of the settings models."""

from pydantic import BaseModel, ConfigDict


class SettingsModel(BaseModel):
    """A model that refuses unknown keys and can't be changed."""

    model_config = ConfigDict(extra='forbid', frozen=True)
